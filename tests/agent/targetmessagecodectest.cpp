#include <agent/targetmessagecodec.h>
#include <tests/fabric/randomvalues.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

std::vector<TargetCommand> randomCommands(quint64 seed)
{
    RandomValues random(seed);
    return {TargetOpen{random.flow(), random.number()},
            TargetData{random.flow(), random.number(), random.number(), random.bytes(1200)},
            TargetDataAck{random.flow(), random.number(), random.number()},
            TargetClose{random.flow(), random.number()},
            TargetProbe{random.flow(), random.number()},
            TargetRequest{random.flow(), random.number(), random.number(), random.number<quint32>(), random.bytes(1200)},
            TargetCancel{random.flow(), random.number(), random.number()}};
}

std::vector<TargetReply> randomReplies(quint64 seed)
{
    RandomValues random(seed);
    const std::vector<TargetReplyBody> bodies{
        TargetStatus{random.boolean(), random.number<quint16>()},
        TargetFlowState{random.flow(), random.number(), random.boolean()},
        TargetData{random.flow(), random.number(), random.number(), random.bytes(1200)},
        TargetDataAck{random.flow(), random.number(), random.number()},
        TargetAnswerPart{random.flow(), random.number(), random.number(), random.number<quint16>(), random.number<quint16>(), random.bytes(1200)},
        TargetShed{random.flow(), random.number(), random.number()},
        TargetCancelled{random.flow(), random.number(), random.number(), random.boolean()}};
    std::vector<TargetReply> replies;
    for (const TargetReplyBody &body : bodies) {
        replies.push_back({random.number<Incarnation>(), body});
    }
    return replies;
}

/// Checks one direction of the link: exact round trip, then every truncation, a trailing byte and every bit flip.
template <typename Message, typename Encode, typename Decode>
void checkCodec(const std::vector<Message> &messages, Encode encode, Decode decode)
{
    for (const Message &message : messages) {
        const QByteArray datagram = encode(message);
        const auto whole = decode(datagram);
        RC_ASSERT(whole.has_value());
        RC_ASSERT(*whole == message);
        RC_ASSERT(!decode(datagram + "x"));
        for (qsizetype size = 0; size < datagram.size(); ++size) {
            RC_ASSERT(!decode(QByteArrayView(datagram).first(size)));
        }
        for (qsizetype bit = 0; bit < datagram.size() * 8; ++bit) {
            QByteArray flipped = datagram;
            flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
            const auto decoded = decode(flipped);
            // The local link has no authentication tag; a bit flip is either rejected or yields another message whose
            // encoding is the flipped datagram.
            if (decoded) {
                RC_ASSERT(*decoded != message);
                RC_ASSERT(encode(*decoded) == flipped);
            }
        }
    }
}

}

// Guards against commands that lose a field or are accepted when corrupted.
RC_GTEST_PROP(TargetMessageCodecTest, Commands, (quint64 seed))
{
    static_assert(std::variant_size_v<TargetCommand> == 7);
    checkCodec(randomCommands(seed), encodeTargetCommand, decodeTargetCommand);
}

// Guards against replies that lose a field or are accepted when corrupted.
RC_GTEST_PROP(TargetMessageCodecTest, Replies, (quint64 seed))
{
    static_assert(std::variant_size_v<TargetReplyBody> == 7);
    checkCodec(randomReplies(seed), encodeTargetReply, decodeTargetReply);
}

// Guards against decoding one direction of the link as the other, and against oversized or unrelated datagrams.
TEST(TargetMessageCodecTest, RefusesOtherDatagrams)
{
    EXPECT_FALSE(decodeTargetReply(encodeTargetCommand(TargetOpen{})));
    EXPECT_FALSE(decodeTargetCommand(encodeTargetReply({Incarnation{1}, TargetStatus{}})));
    EXPECT_FALSE(decodeTargetCommand(QByteArray(maximumTargetMessageSize + 1, 'x')));
    EXPECT_FALSE(decodeTargetCommand(QByteArray(100, '\0')));
}
