#include <operators/flowtrace.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

const QString flow = QStringLiteral("udp 100.64.0.7:40001 -> 198.18.0.1:443");
const QString retry = QStringLiteral("udp 100.64.0.7:40002 -> 198.18.0.1:443");
const QString foreign = QStringLiteral("udp 100.64.0.70:40001 -> 198.18.0.1:443");

Event event(EventNumber number, const char *process, quint64 lamport, qint64 wall, const QString &about = {}, const char *detail = "")
{
    return {number, QLatin1String(process), lamport, wall, about, 0, QLatin1String(detail)};
}

const QList<Event> events{
    event(EventNumber::ProcessStarted, "agent-1", 1, 1'000),
    event(EventNumber::TargetLost, "agent-1", 8, 19'000),
    event(EventNumber::DataCentreOut, "agent-9", 9, 19'500),
    event(EventNumber::FlowOffered, "balancer-1", 10, 20'000, flow, "target=t1"),
    // The wall clock of this machine is behind.
    event(EventNumber::FlowPassedOn, "agent-1", 12, 19'900, flow, "reason=target-ended"),
    event(EventNumber::FlowOpened, "agent-2", 14, 20'010, flow),
    event(EventNumber::FlowOffered, "balancer-1", 20, 21'000, retry, "target=t2"),
    event(EventNumber::FlowOffered, "balancer-1", 21, 21'000, foreign, "target=t2"),
};

}

// Guards against a trace that lacks decisions about the flow, contains those of other flows, or is not in causal order.
TEST(FlowTraceTest, ShowsTheDecisionsAboutAFlowInCausalOrder)
{
    const FlowTrace trace(events, {flow, {}});
    ASSERT_EQ(trace.flows().size(), 1);
    EXPECT_EQ(trace.flows().front().decisions, events.mid(3, 3));
}

// Guards against attempts of a caller that are left out, and against those of a caller whose address has the same
// prefix.
TEST(FlowTraceTest, ShowsEveryAttemptOfACaller)
{
    const FlowTrace trace(events, {{}, QStringLiteral("100.64.0.7")});
    ASSERT_EQ(trace.flows().size(), 2);
    EXPECT_EQ(trace.flows().back().flow, retry);
    EXPECT_EQ(FlowTrace(events, {{}, QStringLiteral("100.64.0.7:40002")}).flows().size(), 1);
}

// Guards against a cause that is left out of the context because it is an event without a flow, recorded by one of the
// same processes, and against events of other processes in the context.
TEST(FlowTraceTest, ShowsEarlierEventsOfTheProcesses)
{
    const FlowTrace trace(events, {flow, {}});
    ASSERT_EQ(trace.context().size(), 1);
    EXPECT_EQ(trace.context().front().number, EventNumber::TargetLost);
    EXPECT_TRUE(trace.toText().contains(QStringLiteral("reason=target-ended")));
}

// Guards against a trace without decisions whose text is empty, which would look like a flow without problems.
TEST(FlowTraceTest, SaysWhenNothingIsRecorded)
{
    const FlowTrace trace(events, {QStringLiteral("udp 1.2.3.4:5 -> 198.18.0.1:443"), {}});
    EXPECT_TRUE(trace.flows().isEmpty());
    EXPECT_TRUE(trace.toText().startsWith(QStringLiteral("no decision is recorded")));
}
