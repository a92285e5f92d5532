#include <platform/segmentcodec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

const Endpoint caller{0x64400007, 40001};
const Endpoint route{0xc6120001, 443};

QByteArray bytes(const char *hexadecimal)
{
    return QByteArray::fromHex(hexadecimal);
}

}

// Guards against a field order, field width or byte order that differs from the platform's own example.
TEST(SegmentCodecTest, ReadsTheOpeningOfThePlatformsExample)
{
    const SegmentCodec codec;
    const std::optional<Segment> segment =
        codec.decode(bytes("44 33 22 11 00 00 00 00 bb 01 41 9c 07 00 40 64 01 00 12 c6 40 00 d5 c3 b2 a1 00 00 00 00 00 00"));
    ASSERT_TRUE(segment);
    EXPECT_EQ(*segment, (Segment{caller, route, SynFlag, 0x11223344, 0, 0, 0}));
}

// Guards against a reset that callers do not recognise.
TEST(SegmentCodecTest, WritesTheResetOfThePlatformsExample)
{
    const SegmentCodec codec;
    EXPECT_EQ(codec.reset({caller, route}, 0), bytes("00 00 00 00 00 00 00 00 41 9c bb 01 01 00 12 c6 07 00 40 64 10 00 00 00 00 00 00 00 00 00 00 00"));
}

// Guards against changes to a packet for a target in bytes other than those that the platform lets the system set.
RC_GTEST_PROP(SegmentCodecTest, PacketsForTargetsKeepTheirBytes, ())
{
    const SegmentCodec codec;
    QByteArray packet(32 + *rc::gen::inRange(0, 1201), '\0');
    for (char &byte : packet) {
        byte = static_cast<char>(*rc::gen::arbitrary<quint8>());
    }
    const qsizetype length = packet.size() - 32;
    packet[26] = static_cast<char>(length & 0xff);
    packet[27] = static_cast<char>(length >> 8);
    const auto tag = *rc::gen::arbitrary<quint32>();
    QByteArray rewritten = codec.forTarget(packet, tag);
    const std::optional<Segment> segment = codec.decode(rewritten);
    RC_ASSERT(segment.has_value());
    RC_ASSERT(segment->tag == tag);
    RC_ASSERT(!segment->has(BouncedFlag));
    // The padding, the tag and the bounce flag are not covered by the checksum.
    for (const qsizetype index : {21, 28, 29, 30, 31}) {
        rewritten[index] = packet[index];
    }
    rewritten[20] = static_cast<char>(rewritten[20] | (packet[20] & 1));
    RC_ASSERT(rewritten == packet);
}

// Guards against reads past the end of a short packet, and against a wrong length field.
TEST(SegmentCodecTest, RefusesWrongLengths)
{
    const SegmentCodec codec;
    EXPECT_FALSE(codec.decode(QByteArray(31, '\0')));
    EXPECT_FALSE(codec.decode(QByteArray(33, '\0')));
    EXPECT_FALSE(codec.decode(QByteArray(32 + 1201, '\0')));
    EXPECT_TRUE(codec.decode(QByteArray(32, '\0')));
}
