#include <fabric/peermessagecodec.h>
#include <tests/fabric/randomvalues.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sodium.h>

#include <set>

using namespace Rattanpick;

namespace
{

constexpr PeerMessageCodec::Key key{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};
constexpr PeerMessageCodec::Key otherKey{16, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};
constexpr qsizetype tagSize = 8;
constexpr qsizetype kindOffset = 4;
constexpr qsizetype sizeOffset = 5;
constexpr qsizetype headerOffset = 7;
constexpr qsizetype headerSize = 16 + 4 + 4 + 8 + 4 + 6 + 8 + 8 + 2 + 1 + 1;
constexpr qsizetype bodyOffset = headerOffset + headerSize;

TunnelHeader randomHeader(RandomValues &random)
{
    return {{random.number(), random.number()},
            random.number<ServiceId>(),
            random.number<TargetId>(),
            random.number<Incarnation>(),
            random.number<TargetId>(),
            random.endpoint(),
            random.number<Incarnation>(),
            random.number(),
            random.number<quint16>(),
            random.number<quint8>(),
            random.number<quint8>()};
}

PeerBody randomBody(RandomValues &random, std::size_t kind)
{
    std::vector<DirectoryEntry> entries(random.below(Register::maximumEntries + 1));
    std::ranges::generate(entries, [&random] { return random.directoryEntry(); });
    const std::vector<PeerBody> bodies{Forward{random.hops(), random.flow(), random.bytes(1400)},
                                       Offer{random.flow(), random.number()},
                                       Accepted{random.flow(), random.number(), random.number<Incarnation>()},
                                       Declined{random.flow(), random.number(), random.refusalReason()},
                                       Withdraw{random.flow(), random.number()},
                                       FlowQuery{random.flow(), random.number()},
                                       FlowReply{random.boolean(), random.directoryEntry()},
                                       Register{random.number(), entries},
                                       Registered{random.number()},
                                       Release{random.flow(), random.number()},
                                       DirectoryDigest{random.number<quint32>(), random.number()},
                                       DirectoryPull{},
                                       VersionNotice{random.endpoint(), random.boolean()},
                                       Heartbeat{random.boolean(), random.number()},
                                       Suspicion{random.hop(), random.number<Incarnation>(), random.boolean(), random.number<TargetId>()},
                                       Retry{random.flow(), random.bytes(1400)}};
    return bodies.at(kind);
}

constexpr std::size_t kindCount = std::variant_size_v<PeerBody>;

PeerMessage randomMessage(quint64 seed, std::size_t kind)
{
    RandomValues random(seed);
    return {randomHeader(random), randomBody(random, kind)};
}

/// Adds a valid size and tag to modified bytes, as a holder of the key could send them.
QByteArray sign(QByteArray bytes)
{
    const auto size = static_cast<quint16>(bytes.size() + tagSize);
    bytes[sizeOffset] = static_cast<char>(size >> 8);
    bytes[sizeOffset + 1] = static_cast<char>(size & 0xff);
    QByteArray tag(tagSize, Qt::Uninitialized);
    crypto_shorthash(reinterpret_cast<unsigned char *>(tag.data()),
                     reinterpret_cast<const unsigned char *>(bytes.constData()),
                     static_cast<unsigned long long>(bytes.size()),
                     key.data());
    return bytes + tag;
}

DropReason dropOf(QByteArrayView datagram)
{
    const PeerMessageCodec codec(key);
    EXPECT_FALSE(codec.decode(datagram));
    return codec.lastDrop();
}

}

// Guards against a field of any message kind that is lost or altered by encoding and decoding.
RC_GTEST_PROP(PeerMessageCodecTest, RoundTripOfEveryKind, (quint64 seed))
{
    const PeerMessageCodec codec(key);
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        const PeerMessage message = randomMessage(seed, kind);
        const QByteArray datagram = codec.encode(message);
        RC_ASSERT(datagram.size() <= PeerMessageCodec::maximumSize);
        const auto decoded = codec.decode(datagram);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == message);
        RC_ASSERT(codec.lastDrop() == DropReason::None);
        RC_ASSERT(codec.encode(*decoded) == datagram);
    }
}

// Guards against accepting a truncated datagram, and against reading beyond its end.
RC_GTEST_PROP(PeerMessageCodecTest, RefusesEveryTruncation, (quint64 seed))
{
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        const QByteArray datagram = PeerMessageCodec(key).encode(randomMessage(seed, kind));
        for (qsizetype size = 0; size < datagram.size(); ++size) {
            RC_ASSERT(dropOf(QByteArrayView(datagram).first(size)) == DropReason::Truncated);
        }
    }
}

// Guards against accepting a datagram with a single flipped bit.
RC_GTEST_PROP(PeerMessageCodecTest, RefusesEveryBitFlip, (quint64 seed))
{
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        QByteArray datagram = PeerMessageCodec(key).encode(randomMessage(seed, kind));
        for (qsizetype bit = 0; bit < datagram.size() * 8; ++bit) {
            const qsizetype byte = bit / 8;
            const auto flip = static_cast<char>(1 << (bit % 8));
            datagram[byte] = static_cast<char>(datagram[byte] ^ flip);
            const DropReason reason = dropOf(datagram);
            datagram[byte] = static_cast<char>(datagram[byte] ^ flip);
            if (byte < kindOffset) {
                RC_ASSERT(reason == DropReason::Malformed);
            } else if (byte == sizeOffset || byte == sizeOffset + 1) {
                RC_ASSERT(reason == DropReason::Malformed || reason == DropReason::Truncated);
            } else {
                RC_ASSERT(reason == DropReason::Forged);
            }
        }
    }
}

// Guards against accepting messages of another fleet.
RC_GTEST_PROP(PeerMessageCodecTest, RefusesAnotherKey, (quint64 seed))
{
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        RC_ASSERT(dropOf(PeerMessageCodec(otherKey).encode(randomMessage(seed, kind))) == DropReason::Forged);
    }
}

// Guards against ignoring trailing bytes after a message, whether they are signed or not.
RC_GTEST_PROP(PeerMessageCodecTest, RefusesTrailingBytes, (quint64 seed))
{
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        const QByteArray datagram = PeerMessageCodec(key).encode(randomMessage(seed, kind));
        RC_ASSERT(dropOf(datagram + "x") == DropReason::Malformed);
        RC_ASSERT(dropOf(sign(datagram.chopped(tagSize) + "x")) == DropReason::Malformed);
    }
}

// Guards against a parser that reads beyond a truncated body with a valid tag.
RC_GTEST_PROP(PeerMessageCodecTest, RefusesSignedTruncation, (quint64 seed))
{
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        const QByteArray content = PeerMessageCodec(key).encode(randomMessage(seed, kind)).chopped(tagSize);
        for (qsizetype size = headerOffset; size < content.size(); ++size) {
            RC_ASSERT(dropOf(sign(content.first(size))) == DropReason::Truncated);
        }
    }
}

// Guards against a crash on corrupted bytes with a valid tag, and against decoding them to a message that encodes
// differently.
RC_GTEST_PROP(PeerMessageCodecTest, SignedNoiseIsRefusedOrCanonical, (quint64 seed))
{
    RandomValues random(seed);
    const PeerMessageCodec codec(key);
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        QByteArray content = codec.encode(randomMessage(seed, kind)).chopped(tagSize);
        for (int change = 0; change < 4; ++change) {
            content[headerOffset + static_cast<qsizetype>(random.below(static_cast<quint64>(content.size() - headerOffset)))] = random.number<char>();
        }
        const QByteArray datagram = sign(content);
        const auto decoded = codec.decode(datagram);
        if (decoded) {
            RC_ASSERT(codec.encode(*decoded) == datagram);
        } else {
            RC_ASSERT(codec.lastDrop() == DropReason::Malformed || codec.lastDrop() == DropReason::Truncated);
        }
    }
}

// Guards against processing datagrams that are larger than any valid message.
TEST(PeerMessageCodecTest, RefusesOversizedDatagrams)
{
    EXPECT_EQ(dropOf(QByteArray(PeerMessageCodec::maximumSize + 1, 'x')), DropReason::Oversized);
    EXPECT_EQ(dropOf(QByteArray(PeerMessageCodec::maximumSize, 'x')), DropReason::Malformed);
}

// Guards against accepting values out of range: kind, hop count, visited bits, duplicate hops, booleans, reasons and
// entry counts.
TEST(PeerMessageCodecTest, RefusesSignedValuesOutOfRange)
{
    const auto altered = [](const PeerBody &body, qsizetype offset, char value) {
        QByteArray content = PeerMessageCodec(key).encode({{}, body}).chopped(tagSize);
        content[offset] = value;
        return dropOf(sign(content));
    };
    HopList hops;
    hops.append({TargetId{1}, {}});
    hops.append({TargetId{2}, {}});
    const Forward forward{hops, {}, {}};
    EXPECT_EQ(altered(forward, kindOffset, 0), DropReason::Malformed);
    EXPECT_EQ(altered(forward, kindOffset, kindCount + 1), DropReason::Malformed);
    EXPECT_EQ(altered(forward, bodyOffset, HopList::maximumSize + 1), DropReason::Malformed);
    EXPECT_EQ(altered(forward, bodyOffset + 1, 4), DropReason::Malformed);
    EXPECT_EQ(altered(forward, bodyOffset + 5, 2), DropReason::Malformed);
    EXPECT_EQ(altered(Heartbeat{}, bodyOffset, 2), DropReason::Malformed);
    EXPECT_EQ(altered(Declined{}, bodyOffset + 21, 15), DropReason::Malformed);
    EXPECT_EQ(altered(Register{}, bodyOffset + 8, Register::maximumEntries + 1), DropReason::Malformed);
}

// Guards against a full directory batch or a large answer that does not fit into one unfragmented datagram.
TEST(PeerMessageCodecTest, LargestBatchFitsIntoOneDatagram)
{
    const Register full{1, std::vector<DirectoryEntry>(Register::maximumEntries)};
    EXPECT_LE(PeerMessageCodec(key).encode({{}, full}).size(), 1500 - 28);
}

// Guards against a drop reason without a distinct name in the metrics.
TEST(PeerMessageCodecTest, DropReasonsHaveDistinctNames)
{
    std::set<std::string> names;
    for (quint8 reason = 0; reason < static_cast<quint8>(DropReason::Count); ++reason) {
        EXPECT_TRUE(names.insert(dropReasonName(static_cast<DropReason>(reason))).second);
    }
}
