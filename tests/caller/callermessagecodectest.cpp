#include "tests/caller/messagegenerator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

// Guards against a field that is lost or changed between sender and receiver.
RC_GTEST_PROP(CallerMessageCodecTest, RoundTrip, ())
{
    const CallerMessage message = anyMessage();
    const QByteArray payload = encodeCallerMessage(message);
    RC_ASSERT(payload.size() <= maximumCallerMessageSize);
    RC_ASSERT(decodeCallerMessage(payload) == message);
}

// Guards against a message that is accepted although its end is missing or other bytes follow.
RC_GTEST_PROP(CallerMessageCodecTest, RefusesEveryOtherLength, ())
{
    const QByteArray payload = encodeCallerMessage(anyMessage());
    for (qsizetype size = 0; size < payload.size(); ++size) {
        RC_ASSERT(!decodeCallerMessage(payload.first(size)));
    }
    const QByteArray tail = QByteArray::fromStdString(*rc::gen::nonEmpty(rc::gen::arbitrary<std::string>()));
    RC_ASSERT(!decodeCallerMessage(payload + tail));
}

// Guards against a second encoding of the same message, and against a crash on modified bytes.
RC_GTEST_PROP(CallerMessageCodecTest, AcceptsOnlyWhatItWouldWrite, ())
{
    QByteArray payload = encodeCallerMessage(anyMessage());
    const int changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes; ++change) {
        payload[*rc::gen::inRange<int>(0, static_cast<int>(payload.size()))] = *rc::gen::arbitrary<char>();
    }
    const auto message = decodeCallerMessage(payload);
    if (message) {
        RC_ASSERT(encodeCallerMessage(*message) == payload);
    }
}

// Guards against a crash on random bytes, and against decoding them as a message that they do not encode.
RC_GTEST_PROP(CallerMessageCodecTest, SurvivesRandomBytes, (const std::string &text))
{
    const QByteArray payload = QByteArray::fromStdString(text);
    const auto message = decodeCallerMessage(payload);
    if (message) {
        RC_ASSERT(encodeCallerMessage(*message) == payload);
    }
}

// Guards against rejecting the largest bodies that the limits allow, and against accepting larger datagrams.
TEST(CallerMessageCodecTest, SizeLimits)
{
    const QByteArray full(maximumCallerMessageSize, 'x');
    const std::vector<CallerMessage> largest{
        Data{1, 1, full.first(maximumDataPayloadSize)},
        Request{1, 1, true, 5, Incarnation{3}, full.first(maximumRequestBodySize)},
        AnswerPart{1, 1, 63, 64, full.first(maximumAnswerBodySize)},
    };
    for (const CallerMessage &message : largest) {
        const QByteArray payload = encodeCallerMessage(message);
        EXPECT_EQ(payload.size(), maximumCallerMessageSize);
        EXPECT_EQ(decodeCallerMessage(payload), message);
        EXPECT_FALSE(decodeCallerMessage(payload + 'x'));
    }
}

// Guards against accepting values that no sender produces; they would identify no flow, request, part or reason.
TEST(CallerMessageCodecTest, RefusesImpossibleValues)
{
    const std::vector<CallerMessage> impossible{
        Open{0},
        Opened{1, Incarnation{0}},
        Rebound{1, Incarnation{0}},
        Data{1, 0, {}},
        DataAck{1, 0},
        Request{1, 0, false, 1, Incarnation{1}, {}},
        AnswerPart{1, 1, 0, 0, {}},
        AnswerPart{1, 1, 2, 2, {}},
        AnswerPart{1, 1, 0, 65, {}},
        AnswerAck{1, 0, 1},
        Cancel{1, 0},
        Refused{1, 1, static_cast<RefusalReason>(15), Outcome::NotRun},
        Refused{1, 1, RefusalReason::Cold, static_cast<Outcome>(0)},
        Refused{1, 1, RefusalReason::Cold, static_cast<Outcome>(4)},
        Reset{1, static_cast<RefusalReason>(255)},
    };
    for (const CallerMessage &message : impossible) {
        EXPECT_FALSE(decodeCallerMessage(encodeCallerMessage(message))) << message.index();
    }
}
