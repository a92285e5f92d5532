#include <caller/callermessagecodec.h>
#include <caller/callersession.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

constexpr Incarnation first{11};
constexpr Incarnation second{12};

class CallerSessionTest : public testing::Test
{
protected:
    explicit CallerSessionTest(const CallerSessionSettings &settings = {})
        : session(settings)
    {
        session.open(now, actions);
    }

    void receive(const CallerMessage &message)
    {
        session.onMessage(now, message, actions);
    }

    void opened()
    {
        receive(Opened{session.nonce(), first});
        actions.clear();
    }

    void tick(Duration elapsed)
    {
        now += elapsed;
        session.onTick(now, actions);
    }

    quint64 request(bool isIdempotent = false, Duration remaining = 1s)
    {
        const auto number = session.sendRequest(now, "body", isIdempotent, now + remaining, actions);
        EXPECT_TRUE(number);
        return number.value_or(0);
    }

    void answer(quint64 number, quint16 part = 0, quint16 parts = 1)
    {
        receive(AnswerPart{session.nonce(), number, part, parts, QByteArray::number(part)});
    }

    void refuse(quint64 number, RefusalReason reason, Outcome outcome)
    {
        receive(Refused{session.nonce(), number, reason, outcome});
    }

    template <typename Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const CallerAction &action : actions) {
            const auto *const message = std::get_if<SendToService>(&action);
            if (message && std::holds_alternative<Message>(message->message)) {
                found.push_back(std::get<Message>(message->message));
            }
        }
        return found;
    }

    template <typename Result>
    std::vector<Result> results() const
    {
        std::vector<Result> found;
        for (const CallerAction &action : actions) {
            if (const auto *const result = std::get_if<Result>(&action)) {
                found.push_back(*result);
            }
        }
        return found;
    }

    void expectEnded(const std::vector<RequestEnded> &expected) const
    {
        EXPECT_EQ(results<RequestEnded>(), expected);
    }

    TimePoint now{1h};
    CallerSession session;
    CallerActions actions;
};

class HedgingCallerSessionTest : public CallerSessionTest
{
protected:
    HedgingCallerSessionTest()
        : CallerSessionTest(settings())
    {
    }

    static CallerSessionSettings settings()
    {
        CallerSessionSettings settings;
        settings.hedgeDelay = 50ms;
        settings.retryBudgetPercent = 100;
        return settings;
    }
};

}

// Guards against a lost Open, and against a second owner that replaces the one that opened the flow first.
TEST_F(CallerSessionTest, RepeatsOpenAndKeepsTheFirstOpened)
{
    tick(100ms);
    EXPECT_EQ(sent<Open>().size(), 2U);
    receive(Opened{session.nonce() + 1, second});
    EXPECT_FALSE(session.isOpen());
    receive(Opened{session.nonce(), first});
    receive(Opened{session.nonce(), second});
    EXPECT_EQ(session.flowIncarnation(), first);
    EXPECT_EQ(results<FlowIsOpen>().size(), 1U);
}

// Guards against an opening without a time limit, and against a flow that stays open after the caller gave up.
TEST_F(CallerSessionTest, OpeningEnds)
{
    tick(5s);
    EXPECT_EQ(results<FlowIsRefused>(), (std::vector<FlowIsRefused>{{RefusalReason::None}}));
    receive(Opened{session.nonce(), first});
    EXPECT_EQ(sent<Close>().size(), 1U);
    EXPECT_TRUE(session.isEnded());
}

// Guards against a refused opening that is not reported.
TEST_F(CallerSessionTest, OpeningRefused)
{
    refuse(0, RefusalReason::ConnectionLimit, Outcome::NotOpened);
    EXPECT_EQ(results<FlowIsRefused>(), (std::vector<FlowIsRefused>{{RefusalReason::ConnectionLimit}}));
}

// Guards against data that is lost, duplicated or delivered out of order.
TEST_F(CallerSessionTest, Data)
{
    opened();
    EXPECT_EQ(session.sendData(now, "a", actions), 1U);
    EXPECT_EQ(session.sendData(now, "b", actions), 2U);
    receive(DataAck{session.nonce(), 1});
    tick(100ms);
    EXPECT_EQ(sent<Data>().back(), (Data{session.nonce(), 2, "b"}));
    EXPECT_EQ(sent<Data>().size(), 3U);
    receive(Data{session.nonce(), 2, "y"});
    EXPECT_TRUE(results<DataArrived>().empty());
    receive(Data{session.nonce(), 1, "x"});
    receive(Data{session.nonce(), 1, "x"});
    receive(Data{session.nonce(), 1000, "far"});
    EXPECT_EQ(results<DataArrived>(), (std::vector<DataArrived>{{1, "x"}, {2, "y"}}));
    EXPECT_EQ(sent<DataAck>().size(), 3U);
}

// Guards against unbounded or oversized sends, and against requests whose deadline has passed before they are sent.
TEST_F(CallerSessionTest, RefusesWhatCannotBeSent)
{
    EXPECT_FALSE(session.sendData(now, "a", actions));
    EXPECT_EQ(session.lastError(), CallerSession::Error::NotOpen);
    opened();
    EXPECT_FALSE(session.sendData(now, QByteArray(maximumDataPayloadSize + 1, 'x'), actions));
    EXPECT_EQ(session.lastError(), CallerSession::Error::TooLarge);
    EXPECT_FALSE(session.sendRequest(now, "a", false, now, actions));
    EXPECT_EQ(session.lastError(), CallerSession::Error::DeadlinePassed);
    for (int count = 0; count < 64; ++count) {
        EXPECT_TRUE(session.sendData(now, "a", actions));
        request();
    }
    EXPECT_FALSE(session.sendData(now, "a", actions));
    EXPECT_FALSE(session.sendRequest(now, "a", false, now + 1s, actions));
    EXPECT_EQ(session.lastError(), CallerSession::Error::WindowFull);
}

// Guards against a repeat under another number or incarnation, which would run the request twice.
TEST_F(CallerSessionTest, RepeatsUnderTheSameNumberAndIncarnation)
{
    opened();
    request();
    receive(Rebound{session.nonce(), second});
    tick(100ms);
    tick(200ms);
    const auto requests = sent<Request>();
    ASSERT_EQ(requests.size(), 3U);
    EXPECT_EQ(requests[1], (Request{session.nonce(), 1, false, 900, first, "body"}));
    EXPECT_EQ(requests[2], (Request{session.nonce(), 1, false, 700, first, "body"}));
    request();
    EXPECT_EQ(sent<Request>().back().number, 2U);
    EXPECT_EQ(sent<Request>().back().flowIncarnation, second);
}

// Guards against an answer that is delivered twice, not acknowledged, or requested completely when one part is missing.
TEST_F(CallerSessionTest, AnswersAreAcknowledged)
{
    opened();
    request();
    answer(1, 1, 2);
    tick(50ms);
    EXPECT_EQ(sent<AnswerAck>(), (std::vector<AnswerAck>{{session.nonce(), 1, 0b10}}));
    answer(1, 0, 2);
    answer(1, 0, 2);
    EXPECT_EQ(sent<AnswerAck>().size(), 3U);
    EXPECT_EQ(sent<AnswerAck>().back(), (AnswerAck{session.nonce(), 1, 0b11}));
    expectEnded({{1, RequestEnding::Answered, RefusalReason::None, "01"}});
    tick(1s);
    EXPECT_EQ(sent<Request>().size(), 1U);
}

// Guards against a refusal reported with another outcome than it guarantees, and against a retry of a non-idempotent
// request.
TEST_F(CallerSessionTest, RefusalsEndNonIdempotentRequests)
{
    opened();
    request();
    request();
    request();
    refuse(1, RefusalReason::Overloaded, Outcome::NotRun);
    refuse(1, RefusalReason::TargetLost, Outcome::OutcomeUnknown);
    refuse(2, RefusalReason::TargetLost, Outcome::OutcomeUnknown);
    tick(1s);
    expectEnded({{1, RequestEnding::NotRun, RefusalReason::Overloaded, {}},
                 {2, RequestEnding::OutcomeUnknown, RefusalReason::TargetLost, {}},
                 {3, RequestEnding::OutcomeUnknown, RefusalReason::DeadlinePassed, {}}});
    EXPECT_EQ(sent<Request>().size(), 3U);
}

// Guards against retries of more than a tenth of the requests, and against "not run" although an attempt may have run.
TEST_F(CallerSessionTest, RetriesWithinTheBudget)
{
    opened();
    for (int count = 0; count < 10; ++count) {
        request(true);
    }
    refuse(1, RefusalReason::TargetLost, Outcome::OutcomeUnknown);
    EXPECT_TRUE(results<RequestEnded>().empty());
    tick(80ms);
    EXPECT_EQ(sent<Request>().back().number, 11U);
    refuse(11, RefusalReason::Overloaded, Outcome::NotRun);
    refuse(2, RefusalReason::Overloaded, Outcome::NotRun);
    expectEnded({{1, RequestEnding::OutcomeUnknown, RefusalReason::Overloaded, {}}, {2, RequestEnding::NotRun, RefusalReason::Overloaded, {}}});
}

// Guards against a hedged request that ends twice, and against a hedge of a non-idempotent request.
TEST_F(HedgingCallerSessionTest, Hedges)
{
    opened();
    request(true);
    request(false);
    tick(50ms);
    EXPECT_EQ(sent<Request>().size(), 3U);
    answer(3);
    EXPECT_EQ(sent<Cancel>(), (std::vector<Cancel>{{session.nonce(), 1}}));
    answer(1);
    expectEnded({{1, RequestEnding::Answered, RefusalReason::None, "0"}});
}

// Guards against a cancelled request whose outcome is never reported.
TEST_F(CallerSessionTest, CancelAsksForTheOutcome)
{
    opened();
    request();
    session.cancel(now, 1, actions);
    EXPECT_EQ(sent<Cancel>().size(), 1U);
    tick(100ms);
    EXPECT_EQ(sent<Cancel>().size(), 2U);
    EXPECT_EQ(sent<Request>().size(), 2U);
    refuse(1, RefusalReason::Cancelled, Outcome::NotRun);
    expectEnded({{1, RequestEnding::NotRun, RefusalReason::Cancelled, {}}});
}

// Guards against a new flow incarnation that is ignored, and against an earlier one that a delayed Rebound restores.
TEST_F(CallerSessionTest, LearnsIncarnations)
{
    opened();
    tick(5s);
    EXPECT_EQ(sent<KeepAlive>().size(), 1U);
    request();
    refuse(1, RefusalReason::OtherIncarnation, Outcome::OutcomeUnknown);
    EXPECT_EQ(sent<KeepAlive>().size(), 2U);
    receive(Rebound{session.nonce(), second});
    receive(Rebound{session.nonce(), first});
    EXPECT_EQ(session.flowIncarnation(), second);
    receive(Rebound{session.nonce(), second});
    receive(Rebound{session.nonce(), first});
    EXPECT_EQ(session.flowIncarnation(), second);
    receive(Rebound{session.nonce(), first});
    EXPECT_EQ(session.flowIncarnation(), first);
}

// Guards against a request that never ends although its flow broke, and against a second end on a late answer.
TEST_F(CallerSessionTest, EveryRequestEndsWithTheFlow)
{
    opened();
    request();
    receive(Reset{session.nonce(), RefusalReason::TargetLost});
    expectEnded({{1, RequestEnding::OutcomeUnknown, RefusalReason::TargetLost, {}}});
    EXPECT_EQ(results<FlowIsBroken>(), (std::vector<FlowIsBroken>{{RefusalReason::TargetLost}}));
    answer(1);
    EXPECT_EQ(results<RequestEnded>().size(), 1U);
}

// Guards against a closed flow that is reported as closed twice or never.
TEST_F(CallerSessionTest, Closes)
{
    opened();
    request();
    session.close(now, actions);
    expectEnded({{1, RequestEnding::OutcomeUnknown, RefusalReason::Cancelled, {}}});
    tick(100ms);
    EXPECT_EQ(sent<Close>().size(), 2U);
    receive(Closed{session.nonce()});
    receive(Closed{session.nonce()});
    tick(10s);
    EXPECT_EQ(results<FlowIsClosed>().size(), 1U);
}

// Guards against a flow that stays open although nothing was received for a minute.
TEST_F(CallerSessionTest, SilenceBreaksTheFlow)
{
    opened();
    request(false, 100s);
    tick(59s);
    EXPECT_TRUE(results<FlowIsBroken>().empty());
    tick(1s);
    EXPECT_EQ(results<FlowIsBroken>(), (std::vector<FlowIsBroken>{{RefusalReason::None}}));
    EXPECT_EQ(results<RequestEnded>().size(), 1U);
}
