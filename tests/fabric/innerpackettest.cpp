#include <fabric/innerpacket.h>
#include <tests/fabric/randomvalues.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

constexpr qsizetype headerSize = 20;

InnerPacket randomPacket(quint64 seed)
{
    RandomValues random(seed);
    return {{random.endpoint(), random.endpoint(), 17}, random.boolean(), random.bytes(1400)};
}

std::optional<InnerPacket> decode(QByteArrayView bytes, bool isTowardsCaller)
{
    return isTowardsCaller ? InnerPacket::toCaller(bytes) : InnerPacket::fromCaller(bytes);
}

}

// Guards against addresses, ports or payload that change between encoding and decoding.
RC_GTEST_PROP(InnerPacketTest, RoundTrip, (quint64 seed))
{
    const InnerPacket packet = randomPacket(seed);
    RC_ASSERT(decode(packet.encode(), packet.isTowardsCaller) == packet);
}

// Guards against byte order errors that a round trip cannot detect, since encoder and decoder share them.
TEST(InnerPacketTest, HeaderFollowsTheStandard)
{
    const InnerPacket packet{{{0x0a000001, 0x1234}, {0x0a010002, 0x5678}, 17}, false, "ab"};
    const QByteArray bytes = packet.encode();
    EXPECT_EQ(bytes.first(4).toHex(), "4500001e");
    EXPECT_EQ(bytes.mid(12, 14).toHex(), "0a0000010a01000212345678000a");
    EXPECT_EQ(bytes.mid(28), "ab");
}

// Guards against accepting a truncated packet or one with trailing bytes.
RC_GTEST_PROP(InnerPacketTest, RefusesOtherLengths, (quint64 seed))
{
    const InnerPacket packet = randomPacket(seed);
    const QByteArray bytes = packet.encode();
    for (qsizetype size = 0; size < bytes.size(); ++size) {
        RC_ASSERT(!decode(QByteArrayView(bytes).first(size), packet.isTowardsCaller));
    }
    RC_ASSERT(!decode(bytes + "x", packet.isTowardsCaller));
}

// Guards against a flipped bit in the IP header that would send a packet to another service.
RC_GTEST_PROP(InnerPacketTest, RefusesEveryBitFlipInTheHeader, (quint64 seed))
{
    const InnerPacket packet = randomPacket(seed);
    QByteArray bytes = packet.encode();
    for (qsizetype bit = 0; bit < headerSize * 8; ++bit) {
        const auto flip = static_cast<char>(1 << (bit % 8));
        bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ flip);
        RC_ASSERT(!decode(bytes, packet.isTowardsCaller));
        bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ flip);
    }
}

// Guards against crashing on, or accepting, random bytes.
RC_GTEST_PROP(InnerPacketTest, RefusesNoise, (quint64 seed))
{
    RandomValues random(seed);
    QByteArray bytes = random.bytes(200);
    if (!bytes.isEmpty()) {
        bytes[0] = 0x45;
    }
    RC_ASSERT(!InnerPacket::fromCaller(bytes));
}
