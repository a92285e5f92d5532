#include <core/endpoint.h>
#include <core/flowkey.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

// Guards against an endpoint that changes when it is written to a document and read back.
RC_GTEST_PROP(EndpointTest, TextRoundTrip, (quint32 address, quint16 port))
{
    RC_PRE(port != 0);
    const Endpoint endpoint{address, port};
    RC_ASSERT(Endpoint::fromString(endpoint.toString()) == endpoint);
}

// Guards against accepting text that is not an IPv4 endpoint.
TEST(EndpointTest, RefusesMalformedText)
{
    for (const char *text : {"", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3:7", "1.2.3.256:7", "a.b.c.d:7", "1.2.3.4:x"}) {
        EXPECT_FALSE(Endpoint::fromString(QString::fromLatin1(text))) << text;
    }
}

// Guards against a hash that ignores a field of the key, which would put unrelated flows into the same bucket.
TEST(FlowKeyTest, HashDependsOnEveryPart)
{
    const FlowKey key{{1, 2}, {3, 4}, 17};
    EXPECT_NE(key.hash(), (FlowKey{{9, 2}, {3, 4}, 17}.hash()));
    EXPECT_NE(key.hash(), (FlowKey{{1, 9}, {3, 4}, 17}.hash()));
    EXPECT_NE(key.hash(), (FlowKey{{1, 2}, {9, 4}, 17}.hash()));
    EXPECT_NE(key.hash(), (FlowKey{{1, 2}, {3, 9}, 17}.hash()));
    EXPECT_NE(key.hash(), (FlowKey{{1, 2}, {3, 4}, 6}.hash()));
}

// Guards against a flow key that rattanpickctl explain rejects when it is copied from a log or event.
TEST(FlowKeyTest, TextRoundTrip)
{
    for (const quint8 protocol : {quint8{6}, quint8{17}}) {
        const FlowKey key{{0x7f000001, 4000}, {0x7f000101, 7000}, protocol};
        EXPECT_EQ(FlowKey::fromString(key.toString()), key);
    }
    for (const char *text : {"", "udp 127.0.0.1:1", "udp 127.0.0.1:1 - 127.0.0.1:2", "icmp 127.0.0.1:1 -> 127.0.0.1:2", "udp 127.0.0.1 -> 127.0.0.1:2"}) {
        EXPECT_FALSE(FlowKey::fromString(QString::fromLatin1(text)).has_value()) << text;
    }
}
