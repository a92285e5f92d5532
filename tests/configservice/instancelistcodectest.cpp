#include <configservice/instancelistcodec.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

// Guards against a field of the instance list that its JSON form loses between the platform and a node.
TEST(InstanceListCodecTest, RoundTrip)
{
    const InstanceList instances{
        {QStringLiteral("a1"), InstanceRole::Agent, QStringLiteral("a"), {0x7f000001, 1}, {0x7f000001, 2}, TargetId{0xfedcba98}, true},
        {QStringLiteral("b1"), InstanceRole::Balancer, QStringLiteral("b"), {0x7f000002, 3}, {0x7f000002, 4}, TargetId{}, false},
    };
    InstanceListCodec codec;
    EXPECT_EQ(codec.fromJson(InstanceListCodec::toJson(instances)), instances);
}

// Guards against a malformed list that replaces a valid one.
TEST(InstanceListCodecTest, RefusesMalformedLists)
{
    const QByteArray entry = R"({"name":"a","role":"agent","dataCentre":"d","tunnel":"1.2.3.4:5","admin":"1.2.3.4:6"})";
    InstanceListCodec codec;
    EXPECT_TRUE(codec.fromJson("[" + entry + "]"));
    EXPECT_FALSE(codec.fromJson("[" + entry + "," + entry + "]"));
    EXPECT_FALSE(codec.fromJson("{}"));
    EXPECT_FALSE(codec.fromJson("[{\"name\":\"a\"}]"));
}
