#include <agent/requestqueue.h>
#include <agent/requesttable.h>

#include <caller/callermessagecodec.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

constexpr Incarnation current{77};
constexpr quint64 nonce = 5;
const FlowKey flow{{1, 1}, {2, 2}, 17};
const TimePoint start{1h};

RequestTableSettings withoutRamp(quint32 slotCount = 1)
{
    RequestTableSettings settings;
    settings.ramp.strategy = ColdStartStrategy::NoRamp;
    settings.slotCount = slotCount;
    return settings;
}

class RequestTableTest : public testing::Test
{
protected:
    explicit RequestTableTest(const RequestTableSettings &settings = withoutRamp())
        : table(settings)
    {
        table.openFlow(flow, nonce, current, false);
    }

    void request(quint64 number, bool isIdempotent = false, quint32 milliseconds = 1000, Incarnation incarnation = current)
    {
        table.onRequest(now, flow, Request{nonce, number, isIdempotent, milliseconds, incarnation, "body"}, actions);
    }

    void answer(quint64 number, quint16 part = 0, quint16 parts = 1)
    {
        table.onTargetAnswerPart(now, TargetAnswerPart{flow, nonce, number, part, parts, QByteArray::number(part)}, actions);
    }

    void tick(Duration elapsed)
    {
        now += elapsed;
        table.onTick(now, actions);
    }

    /// All messages of one kind to the caller among the actions so far.
    template <typename Message>
    std::vector<Message> toCaller() const
    {
        std::vector<Message> found;
        for (const AgentAction &action : actions) {
            const auto *const sent = std::get_if<SendToCaller>(&action);
            if (sent && std::holds_alternative<Message>(sent->message)) {
                found.push_back(std::get<Message>(sent->message));
            }
        }
        return found;
    }

    template <typename Command>
    std::vector<Command> toTarget() const
    {
        std::vector<Command> found;
        for (const AgentAction &action : actions) {
            const auto *const sent = std::get_if<SendToTarget>(&action);
            if (sent && std::holds_alternative<Command>(sent->command)) {
                found.push_back(std::get<Command>(sent->command));
            }
        }
        return found;
    }

    std::vector<RetryElsewhere> handedOver() const
    {
        std::vector<RetryElsewhere> found;
        for (const AgentAction &action : actions) {
            if (const auto *const retry = std::get_if<RetryElsewhere>(&action)) {
                found.push_back(*retry);
            }
        }
        return found;
    }

    std::vector<quint64> deliveredNumbers() const
    {
        std::vector<quint64> numbers;
        for (const TargetRequest &delivered : toTarget<TargetRequest>()) {
            numbers.push_back(delivered.number);
        }
        return numbers;
    }

    void expectRefused(quint64 number, RefusalReason reason, Outcome outcome) const
    {
        const auto refusals = toCaller<Refused>();
        ASSERT_FALSE(refusals.empty());
        EXPECT_EQ(refusals.back(), (Refused{nonce, number, reason, outcome}));
    }

    TimePoint now = start;
    RequestTable table;
    AgentActions actions;
};

class RequestTableWithTwoSlotsTest : public RequestTableTest
{
protected:
    RequestTableWithTwoSlotsTest()
        : RequestTableTest(withoutRamp(2))
    {
    }
};

}

// Guards against a repeated request that runs again while it is in progress or after its answer.
TEST_F(RequestTableTest, RunsOnceAndRepeatsTheAnswer)
{
    request(1);
    request(1);
    EXPECT_EQ(toTarget<TargetRequest>().size(), 1U);
    answer(1, 1, 2);
    answer(1, 0, 2);
    answer(1, 0, 2);
    EXPECT_EQ(toCaller<AnswerPart>().size(), 2U);
    request(1);
    EXPECT_EQ(toCaller<AnswerPart>().size(), 4U);
    EXPECT_EQ(toTarget<TargetRequest>().size(), 1U);
}

// Guards against lost answer parts that are not sent again, and against retransmissions after the acknowledgement.
TEST_F(RequestTableTest, RepeatsUnacknowledgedPartsOnly)
{
    request(1);
    answer(1, 0, 2);
    answer(1, 1, 2);
    actions.clear();
    table.onAnswerAck(now, flow, AnswerAck{nonce, 1, 0b01}, actions);
    ASSERT_EQ(toCaller<AnswerPart>().size(), 1U);
    EXPECT_EQ(toCaller<AnswerPart>().front().part, 1);
    EXPECT_FALSE(table.isIdle());
    tick(100ms);
    EXPECT_EQ(toCaller<AnswerPart>().size(), 2U);
    table.onAnswerAck(now, flow, AnswerAck{nonce, 1, 0b11}, actions);
    EXPECT_TRUE(table.isIdle());
    actions.clear();
    tick(20s);
    EXPECT_TRUE(toCaller<AnswerPart>().empty());
}

// Guards against a request that reaches the target after its deadline, and against a copy of it that runs later.
TEST_F(RequestTableTest, LateRequestNeverRuns)
{
    request(1, false, 0);
    expectRefused(1, RefusalReason::DeadlinePassed, Outcome::NotRun);
    request(1, false, 1000);
    expectRefused(1, RefusalReason::DeadlinePassed, Outcome::NotRun);
    request(2);
    request(3, false, 5);
    tick(10ms);
    expectRefused(3, RefusalReason::DeadlinePassed, Outcome::NotRun);
    answer(2);
    tick(10ms);
    EXPECT_EQ(deliveredNumbers(), std::vector<quint64>{2});
}

// Guards against running a request that was cancelled before it arrived, and against reporting "not run" before its
// incarnation is known.
TEST_F(RequestTableTest, CancelBeforeRequestMarksTheNumber)
{
    table.onCancel(now, flow, Cancel{nonce, 1}, actions);
    EXPECT_TRUE(toCaller<Refused>().empty());
    request(1);
    expectRefused(1, RefusalReason::Cancelled, Outcome::NotRun);
    table.onCancel(now, flow, Cancel{nonce, 2}, actions);
    request(2, false, 1000, Incarnation{99});
    expectRefused(2, RefusalReason::OtherIncarnation, Outcome::OutcomeUnknown);
    EXPECT_TRUE(toTarget<TargetRequest>().empty());
}

// Guards against running a request that another owner or an earlier process may have run or refused.
TEST_F(RequestTableTest, OtherIncarnationNeverRuns)
{
    request(1, false, 1000, Incarnation{99});
    expectRefused(1, RefusalReason::OtherIncarnation, Outcome::OutcomeUnknown);
    request(2, true, 1000, Incarnation{99});
    expectRefused(2, RefusalReason::OtherIncarnation, Outcome::OutcomeUnknown);
    request(1);
    expectRefused(1, RefusalReason::OtherIncarnation, Outcome::OutcomeUnknown);
    EXPECT_TRUE(toTarget<TargetRequest>().empty());
}

// Guards against a second run of a request whose record was evicted.
TEST(RequestTableEvictionTest, ForgottenNumberIsNeverRun)
{
    RequestTableSettings settings = withoutRamp();
    settings.keptRequestsPerFlow = 2;
    RequestTable table(settings);
    table.openFlow(flow, nonce, current, false);
    AgentActions actions;
    for (quint64 number = 2; number <= 5; ++number) {
        table.onRequest(start, flow, Request{nonce, number, false, 1000, current, {}}, actions);
        table.onTargetAnswerPart(start, TargetAnswerPart{flow, nonce, number, 0, 1, {}}, actions);
    }
    for (const quint64 number : {1, 2}) {
        actions.clear();
        table.onRequest(start, flow, Request{nonce, number, false, 1000, current, {}}, actions);
        ASSERT_FALSE(actions.empty());
        EXPECT_EQ(actions.front(), AgentAction(SendToCaller{flow, Refused{nonce, number, RefusalReason::Forgotten, Outcome::OutcomeUnknown}}));
    }
}

// Guards against reporting "not run" for a request that the target may have begun.
TEST_F(RequestTableTest, TimeoutAfterDeliveryIsOutcomeUnknown)
{
    request(1, false, 50);
    tick(50ms);
    EXPECT_EQ(toTarget<TargetCancel>().size(), 1U);
    EXPECT_TRUE(toCaller<Refused>().empty());
    tick(100ms);
    expectRefused(1, RefusalReason::TargetTimeout, Outcome::OutcomeUnknown);
}

// Guards against overloading a slow target, and against a slot that is never released.
TEST_F(RequestTableTest, SlotStaysTakenUntilConfirmedOrReleased)
{
    request(1, false, 50);
    request(2, false, 10000);
    request(3, false, 10000);
    tick(50ms);
    tick(150ms);
    EXPECT_EQ(deliveredNumbers(), std::vector<quint64>{1});
    table.onTargetCancelled(now, TargetCancelled{flow, nonce, 1, true}, actions);
    EXPECT_EQ(deliveredNumbers(), (std::vector<quint64>{1, 2}));
    table.onCancel(now, flow, Cancel{nonce, 2}, actions);
    tick(1900ms);
    EXPECT_EQ(deliveredNumbers(), (std::vector<quint64>{1, 2}));
    tick(200ms);
    EXPECT_EQ(deliveredNumbers(), (std::vector<quint64>{1, 2, 3}));
}

// Guards against an unknown outcome although the target has confirmed that the request did not begin.
TEST_F(RequestTableTest, ConfirmedCancellationIsNotRun)
{
    request(1);
    table.onCancel(now, flow, Cancel{nonce, 1}, actions);
    table.onTargetCancelled(now, TargetCancelled{flow, nonce, 1, false}, actions);
    expectRefused(1, RefusalReason::Cancelled, Outcome::NotRun);
    request(2, false, 50);
    tick(50ms);
    table.onTargetCancelled(now, TargetCancelled{flow, nonce, 2, false}, actions);
    expectRefused(2, RefusalReason::DeadlinePassed, Outcome::NotRun);
    request(3);
    table.onCancel(now, flow, Cancel{nonce, 3}, actions);
    table.onTargetCancelled(now, TargetCancelled{flow, nonce, 3, true}, actions);
    expectRefused(3, RefusalReason::Cancelled, Outcome::OutcomeUnknown);
}

// Guards against dropping an answer that arrives during the cancellation.
TEST_F(RequestTableTest, AnswerDuringCancellationCounts)
{
    request(1, false, 50);
    tick(50ms);
    answer(1);
    EXPECT_EQ(toCaller<AnswerPart>().size(), 1U);
    tick(1s);
    EXPECT_TRUE(toCaller<Refused>().empty());
}

// Guards against shed requests that run later, and against hand-overs beyond the budget or of non-idempotent requests.
TEST_F(RequestTableTest, ShedRequestsAreRefusedOrHandedOver)
{
    for (quint64 number = 1; number <= 10; ++number) {
        request(number);
    }
    expectRefused(10, RefusalReason::Overloaded, Outcome::NotRun);
    request(11, true);
    ASSERT_EQ(handedOver().size(), 1U);
    EXPECT_EQ(handedOver().front().request.number, 11U);
    request(12, true);
    expectRefused(12, RefusalReason::Overloaded, Outcome::NotRun);
    answer(1);
    answer(2);
    answer(3);
    request(10);
    request(11, true);
    request(12, true);
    expectRefused(12, RefusalReason::Overloaded, Outcome::NotRun);
    EXPECT_EQ(deliveredNumbers(), (std::vector<quint64>{1, 2, 3}));
    EXPECT_EQ(handedOver().size(), 1U);
    table.onRetryNotPlaced(now, flow, nonce, 11, actions);
    expectRefused(11, RefusalReason::Overloaded, Outcome::NotRun);
}

// Guards against a request that the target has shed and that is reported as unknown or runs later.
TEST_F(RequestTableTest, TargetShedIsNotRun)
{
    request(1);
    table.onTargetShed(now, TargetShed{flow, nonce, 1}, actions);
    expectRefused(1, RefusalReason::Overloaded, Outcome::NotRun);
    request(1);
    EXPECT_EQ(toTarget<TargetRequest>().size(), 1U);
}

// Guards against refusing requests that can finish in time, and against queueing those that cannot.
TEST_F(RequestTableTest, RefusesWhatCannotEndInTime)
{
    request(1);
    now += 100ms;
    answer(1);
    request(2);
    request(3, false, 150);
    expectRefused(3, RefusalReason::Overloaded, Outcome::NotRun);
    request(4, false, 250);
    EXPECT_EQ(table.queuedRequests(), 1U);
}

// Guards against a wrong order in the queue, and against starvation of idempotent requests.
TEST_F(RequestTableTest, QueueOrder)
{
    RequestQueue queue(2);
    for (quint64 number = 1; number <= 3; ++number) {
        queue.append(RequestId{flow, nonce, number}, true);
        queue.append(RequestId{flow, nonce, 10 + number}, false);
    }
    std::vector<quint64> order;
    while (const auto next = queue.takeNext()) {
        order.push_back(next->number);
    }
    EXPECT_EQ(order, (std::vector<quint64>{11, 12, 1, 13, 2, 3}));
}

// Guards against reporting "not run" for requests of a lost target, and against queued requests that start before their
// flow is checked.
TEST_F(RequestTableTest, TargetLoss)
{
    const FlowKey other{{1, 9}, {2, 2}, 17};
    table.openFlow(other, nonce, current, false);
    request(1);
    request(2);
    table.onRequest(now, other, Request{nonce, 1, false, 1000, current, {}}, actions);
    table.onTargetLost(now, actions);
    expectRefused(1, RefusalReason::TargetLost, Outcome::OutcomeUnknown);
    table.closeFlow(now, flow, actions);
    expectRefused(2, RefusalReason::TargetLost, Outcome::NotRun);
    EXPECT_EQ(toTarget<TargetRequest>().size(), 1U);
    tick(10ms);
    EXPECT_EQ(toTarget<TargetRequest>().size(), 2U);
    EXPECT_EQ(toTarget<TargetRequest>().back().flow, other);
}

// Guards against an answer of an earlier flow on the same addresses that reaches the caller of the next one.
TEST_F(RequestTableTest, NewNonceSharesNothing)
{
    request(1);
    table.openFlow(flow, nonce + 1, Incarnation{78}, false);
    answer(1);
    EXPECT_TRUE(toCaller<AnswerPart>().empty());
    request(2);
    EXPECT_EQ(toTarget<TargetRequest>().size(), 1U);
}

// Guards against a closed flow whose requests continue at the target, or whose slot is freed before the target has
// finished.
TEST_F(RequestTableTest, CloseCancelsAndKeepsTheSlot)
{
    request(1);
    table.closeFlow(now, flow, actions);
    EXPECT_EQ(toTarget<TargetCancel>().size(), 1U);
    EXPECT_EQ(table.deliveredRequests(), 1U);
    answer(1);
    EXPECT_EQ(table.deliveredRequests(), 0U);
    EXPECT_TRUE(toCaller<AnswerPart>().empty());
    EXPECT_TRUE(table.isIdle());
}

// Guards against accepting requests while the target is draining.
TEST_F(RequestTableTest, RefusesNewRequestsWhileDraining)
{
    request(1);
    table.refuseNewRequests(RefusalReason::Draining);
    request(2);
    expectRefused(2, RefusalReason::Draining, Outcome::NotRun);
    answer(1);
    table.refuseNewRequests(RefusalReason::None);
    request(2);
    expectRefused(2, RefusalReason::Draining, Outcome::NotRun);
    EXPECT_EQ(toTarget<TargetRequest>().size(), 1U);
}

// Guards against "not run" from an agent that does not own the flow, and against accepting non-idempotent hand-overs.
TEST_F(RequestTableTest, RetriedRequests)
{
    const FlowKey foreign{{1, 9}, {2, 2}, 17};
    table.onRetriedRequest(now, foreign, Request{9, 1, true, 1000, Incarnation{5}, {}}, actions);
    EXPECT_EQ(toCaller<Refused>(), (std::vector<Refused>{{9, 1, RefusalReason::Recovering, Outcome::OutcomeUnknown}}));
    EXPECT_TRUE(toTarget<TargetRequest>().empty());
    tick(10s);
    actions.clear();
    table.onRetriedRequest(now, foreign, Request{9, 1, false, 1000, Incarnation{5}, {}}, actions);
    EXPECT_TRUE(toTarget<TargetRequest>().empty());
    for (quint64 number = 1; number <= 4; ++number) {
        table.onRetriedRequest(now, foreign, Request{9, number, true, 1000, Incarnation{5}, {}}, actions);
    }
    EXPECT_EQ(toCaller<Refused>(), (std::vector<Refused>{{9, 4, RefusalReason::Overloaded, Outcome::OutcomeUnknown}}));
    table.onTargetAnswerPart(now, TargetAnswerPart{foreign, 9, 1, 0, 1, {}}, actions);
    EXPECT_EQ(toCaller<AnswerPart>().size(), 1U);
    EXPECT_TRUE(handedOver().empty());
}

// Guards against malformed answer parts of a target that crash the agent, reach the caller or complete a request.
TEST_F(RequestTableTest, IgnoresMalformedAnswerParts)
{
    request(1);
    answer(1, 0, 0);
    answer(1, 2, 2);
    answer(1, 0, 65);
    table.onTargetAnswerPart(now, TargetAnswerPart{flow, nonce, 1, 0, 1, QByteArray(maximumAnswerBodySize + 1, 'x')}, actions);
    EXPECT_TRUE(toCaller<AnswerPart>().empty());
    answer(1, 0, 2);
    answer(1, 1, 3);
    EXPECT_EQ(toCaller<AnswerPart>().size(), 1U);
    EXPECT_EQ(table.deliveredRequests(), 1U);
}

// Guards against unbounded memory use of retained answers.
TEST(RequestTableMemoryTest, OldestAnswersAreDropped)
{
    RequestTableSettings settings = withoutRamp();
    settings.keptAnswerBytes = 2500;
    RequestTable table(settings);
    table.openFlow(flow, nonce, current, false);
    AgentActions actions;
    const QByteArray body(1000, 'x');
    for (quint64 number = 1; number <= 3; ++number) {
        table.onRequest(start, flow, Request{nonce, number, false, 1000, current, {}}, actions);
        table.onTargetAnswerPart(start, TargetAnswerPart{flow, nonce, number, 0, 1, body}, actions);
    }
    actions.clear();
    table.onRequest(start, flow, Request{nonce, 1, false, 1000, current, {}}, actions);
    EXPECT_EQ(actions.back(), AgentAction(SendToCaller{flow, Refused{nonce, 1, RefusalReason::Forgotten, Outcome::OutcomeUnknown}}));
    table.onRequest(start, flow, Request{nonce, 2, false, 1000, current, {}}, actions);
    EXPECT_EQ(actions.back(), AgentAction(SendToCaller{flow, AnswerPart{nonce, 2, 0, 1, body}}));
}

// Guards against more requests at the target than it has slots, and against a reported load that does not reflect them.
TEST_F(RequestTableWithTwoSlotsTest, FillsSlotsAndReportsLoad)
{
    EXPECT_EQ(table.loadPermille(now), 0);
    for (quint64 number = 1; number <= 3; ++number) {
        request(number);
    }
    EXPECT_EQ(table.deliveredRequests(), 2U);
    EXPECT_EQ(table.queuedRequests(), 1U);
    EXPECT_NEAR(table.loadPermille(now + 1min), 1500, 1);
}
