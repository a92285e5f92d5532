#include "streamtestdata.h"

#include <gtest/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

class StreamBalancerTest : public testing::Test
{
protected:
    StreamBalancerTest()
        : m_balancer(settings(), m_format)
    {
        apply(reading({target(1), target(2), target(3)}));
    }

    static StreamBalancerSettings settings()
    {
        StreamBalancerSettings settings;
        settings.endpoint = {0x0a010064, agentPort};
        settings.directory.agentPort = agentPort;
        settings.placement.dataCentre = QStringLiteral("dc1");
        return settings;
    }

    void apply(const std::vector<DirectoryChange> &changes, TimePoint now = start)
    {
        for (const DirectoryChange &change : changes) {
            m_balancer.onDirectoryChange(now, change, m_actions);
        }
    }

    StreamActions packet(TimePoint now, const Segment &segment)
    {
        StreamActions actions;
        m_balancer.onPacket(now, PlainFormat::encode(segment), actions);
        return actions;
    }

    StreamActions tick(TimePoint now)
    {
        StreamActions actions;
        m_balancer.onTick(now, actions);
        return actions;
    }

    /// Ticks at regular intervals until the caller gets a reset; returns when, or nothing until the end.
    std::optional<TimePoint> resetTime(TimePoint from, TimePoint to)
    {
        for (TimePoint now = from; now <= to; now += 10ms) {
            const StreamActions actions = tick(now);
            if (resetsCaller(actions)) {
                m_resets = segments<SendToStreamCaller>(actions);
                return now;
            }
        }
        return std::nullopt;
    }

    void receiveFrom(TimePoint now, StreamMessageKind kind, int index, int incarnationNumber = 1)
    {
        StreamMessage message;
        message.kind = kind;
        message.sender = agentAddress(index);
        message.target = target(index, incarnationNumber).id;
        message.incarnation = target(index, incarnationNumber).incarnation;
        message.flow = flow;
        m_balancer.onMessage(now, message, m_actions);
    }

    /// Opens the flow at the target that the balancer chooses first; returns the target's index.
    int open(TimePoint now = start)
    {
        const auto offers = messages(packet(now, callerSegment(SynFlag)), StreamMessageKind::Opening);
        EXPECT_EQ(offers.size(), 1);
        for (const int index : {1, 2, 3}) {
            if (offers.front().to == agentAddress(index)) {
                receiveFrom(now, StreamMessageKind::Held, index);
                return index;
            }
        }
        return 0;
    }

    PlainFormat m_format;
    StreamBalancer m_balancer;
    StreamActions m_actions;
    std::vector<Segment> m_resets;
};

}

// Guards against resets of flows whose target lapsed before this process started, just after the source has returned
// (found by the soak, seed 101).
TEST_F(StreamBalancerTest, FlowsOfTargetsNeverListedAreKeptRightAfterTheStart)
{
    packet(start, callerSegment(AckFlag, 2, 1001, 100));
    receiveFrom(start, StreamMessageKind::Held, 7);
    packet(start + 1900ms, callerSegment(AckFlag, 102, 1501, 100));
    EXPECT_FALSE(resetsCaller(tick(start + 2s)));
    packet(start + 2100ms, callerSegment(AckFlag, 102, 1501, 100));
    EXPECT_EQ(resetTime(start + 2100ms, start + 5s), start + 4100ms);
}

// Guards against resets of flows whose target lapsed from the directory before this process started, while the source
// is unavailable (found by the soak, seed 11).
TEST_F(StreamBalancerTest, FlowsOfTargetsNeverListedAreKeptWhileTheDirectoryIsUnsettled)
{
    apply({SourceSwitched{false, {}}});
    packet(start, callerSegment(AckFlag, 2, 1001, 100));
    receiveFrom(start, StreamMessageKind::Held, 7);
    const StreamActions actions = packet(start + 3s, callerSegment(AckFlag, 102, 1501, 100));
    EXPECT_FALSE(resetsCaller(actions));
    ASSERT_EQ(messages(actions, StreamMessageKind::Deliver).size(), 1);
    EXPECT_EQ(messages(actions, StreamMessageKind::Deliver).front().to, agentAddress(7));
    // Two seconds after the source has returned, a target whose entry is still missing is gone.
    apply({SourceSwitched{true, {}}}, start + 4s);
    packet(start + 5s, callerSegment(AckFlag, 102, 1501, 100));
    EXPECT_FALSE(resetsCaller(tick(start + 5100ms)));
    packet(start + 7s, callerSegment(AckFlag, 102, 1501, 100));
    EXPECT_EQ(resetTime(start + 7s, start + 10s), start + 9s);
}

// Guards against later packets of a flow that go to another target than its opening.
TEST_F(StreamBalancerTest, LaterPacketsFollowTheOpening)
{
    const int owner = open();
    // A better target appears; the flow stays where it is.
    apply({TargetListed{200, target(4)}});
    const auto delivered = messages(packet(start + 1s, callerSegment(AckFlag, 2, 1001, 100)), StreamMessageKind::Deliver);
    ASSERT_EQ(delivered.size(), 1);
    EXPECT_EQ(delivered.front().to, agentAddress(owner));
    EXPECT_EQ(delivered.front().message.target, target(owner).id);
}

// Guards against callers that wait for their next copy of the opening, 200 ms later, because one agent does not answer.
TEST_F(StreamBalancerTest, SilentTargetsAreReplacedSoon)
{
    const auto first = messages(packet(start, callerSegment(SynFlag)), StreamMessageKind::Opening);
    ASSERT_EQ(first.size(), 1);
    EXPECT_TRUE(messages(tick(start + 40ms), StreamMessageKind::Opening).empty());
    const StreamActions later = tick(start + 50ms);
    const auto second = messages(later, StreamMessageKind::Opening);
    ASSERT_EQ(second.size(), 1);
    EXPECT_NE(second.front().to, first.front().to);
    // The unresponsive target is pinged, and other flows avoid it.
    const auto pings = messages(later, StreamMessageKind::Ping);
    ASSERT_EQ(pings.size(), 1);
    EXPECT_EQ(pings.front().to, first.front().to);
}

// Load: a small balancer after a loss of power, whose answers wait in its socket for longer than the time limit of an offer. Guards
// against offers that are repeated although their answers have been received, which makes it slower still.
TEST_F(StreamBalancerTest, AnswersThatWaitedInTheSocketAreReadBeforeOffersAreRepeated)
{
    const auto offers = messages(packet(start, callerSegment(SynFlag)), StreamMessageKind::Opening);
    ASSERT_EQ(offers.size(), 1);
    StreamMessage load;
    load.kind = StreamMessageKind::Load;
    load.sender = agentAddress(3);
    load.target = target(3).id;
    StreamMessage held = load;
    held.kind = StreamMessageKind::Held;
    held.sender = offers.front().to;
    held.target = offers.front().message.target;
    held.flow = flow;
    StreamActions actions;
    m_balancer.onMessage(start + 80ms, load, actions);
    m_balancer.onMessage(start + 80ms, held, actions);
    m_balancer.onTick(start + 80ms, actions);
    EXPECT_TRUE(messages(actions, StreamMessageKind::Opening).empty());
    EXPECT_TRUE(messages(actions, StreamMessageKind::Ping).empty());
}

// Guards against a segment that only one of several targets tried can match: the message names all of them.
TEST_F(StreamBalancerTest, UnansweredOpeningsNameEveryTargetTried)
{
    const auto first = messages(packet(start, callerSegment(SynFlag)), StreamMessageKind::Opening);
    const auto second = messages(tick(start + 50ms), StreamMessageKind::Opening);
    const auto delivered = messages(packet(start + 60ms, callerSegment(AckFlag, 2, 77)), StreamMessageKind::Deliver);
    ASSERT_EQ(delivered.size(), 1);
    EXPECT_EQ(delivered.front().to, second.front().to);
    EXPECT_EQ(delivered.front().message.candidates, std::vector{first.front().message.target});
}

// Guards against a reset of a live flow because the entry of its target was removed from the store.
TEST_F(StreamBalancerTest, MissingEntryAloneBreaksNoFlow)
{
    const int owner = open();
    apply({TargetUnlisted{200, target(owner).name}}, start + 1s);
    tick(start + 3s);
    receiveFrom(start + 3s, StreamMessageKind::Load, owner);
    EXPECT_FALSE(resetsCaller(packet(start + 4s, callerSegment(AckFlag, 2, 1001, 100))));
    const StreamActions pinged = packet(start + 6s, callerSegment(AckFlag, 2, 1001, 100));
    EXPECT_FALSE(resetsCaller(pinged));
    ASSERT_EQ(messages(pinged, StreamMessageKind::Ping).size(), 1);
    EXPECT_EQ(messages(pinged, StreamMessageKind::Ping).front().to, agentAddress(owner));
    EXPECT_EQ(messages(pinged, StreamMessageKind::Deliver).size(), 1);
    // Its agent may be restarted; it is gone after a longer silence.
    EXPECT_EQ(resetTime(start + 6s, start + 9s), start + 8s);
    EXPECT_EQ(m_resets.front().sequence, 1001);
}

// Guards against a reset of a flow at a target that leaves and is not listed any more while its agent is restarted as
// planned, and against a flow that is not delivered after the restart.
TEST_F(StreamBalancerTest, RestartOfTheAgentOfAnUnlistedTargetBreaksNoFlow)
{
    const int owner = open();
    apply({TargetUnlisted{200, target(owner).name}}, start + 1s);
    tick(start + 3s);
    for (const Duration round : {0s, 3s}) {
        const TimePoint stopped = start + 6s + round;
        packet(stopped, callerSegment(AckFlag, 2, 1001, 100));
        packet(stopped + 200ms, callerSegment(AckFlag, 2, 1001, 100));
        EXPECT_FALSE(resetTime(stopped, stopped + 1900ms));
        receiveFrom(stopped + 1900ms, StreamMessageKind::Load, owner);
        EXPECT_FALSE(resetTime(stopped + 1900ms, stopped + 2900ms));
        EXPECT_EQ(messages(packet(stopped + 2900ms, callerSegment(AckFlag, 2, 1001, 100)), StreamMessageKind::Deliver).size(), 1);
    }
}

// Guards against a reset of a flow whose target is listed again while its agent is silent.
TEST_F(StreamBalancerTest, EntryThatReturnsKeepsTheFlows)
{
    const int owner = open();
    apply({TargetUnlisted{200, target(owner).name}}, start + 1s);
    tick(start + 3s);
    packet(start + 6s, callerSegment(AckFlag, 2, 1001, 100));
    EXPECT_FALSE(resetTime(start + 6s, start + 7s));
    apply({TargetListed{201, target(owner)}}, start + 7s);
    EXPECT_FALSE(resetTime(start + 7s, start + 12s));
}

// Guards against many pings to a machine that is gone, one for each of its flows.
TEST_F(StreamBalancerTest, SilentAgentsOfUnlistedTargetsArePingedAtALowRate)
{
    const int owner = open();
    for (const quint16 port : {51, 52, 53}) {
        StreamMessage held;
        held.kind = StreamMessageKind::Held;
        held.sender = agentAddress(owner);
        held.target = target(owner).id;
        held.flow = {{caller.address, port}, route};
        m_balancer.onMessage(start, held, m_actions);
    }
    apply({TargetUnlisted{200, target(owner).name}}, start + 1s);
    tick(start + 3s);
    std::size_t pings = 0;
    for (const quint16 port : {51, 52, 53}) {
        pings += messages(packet(start + 6s, callerSegment(AckFlag, 2, 1001, 100, {{caller.address, port}, route})), StreamMessageKind::Ping).size();
    }
    std::size_t resets = 0;
    for (TimePoint now = start + 6s; now <= start + 8s; now += 10ms) {
        const StreamActions actions = tick(now);
        pings += messages(actions, StreamMessageKind::Ping).size();
        resets += segments<SendToStreamCaller>(actions).size();
    }
    EXPECT_EQ(resets, 3);
    EXPECT_LE(pings, 30);
}

// Guards against callers that wait for two seconds at a machine whose silence was known before its entry has gone.
TEST_F(StreamBalancerTest, SilenceOfAListedTargetCountsOnceItIsUnlisted)
{
    const int owner = open();
    apply({TargetUnlisted{200, target(owner).name}}, start + 1s);
    for (quint16 port = 100; port < 120; ++port) {
        packet(start + 1s, callerSegment(SynFlag, 1, 0, 0, {{caller.address, port}, route}));
    }
    EXPECT_FALSE(resetTime(start + 1s, start + 4s));
    packet(start + 4s, callerSegment(AckFlag, 2, 1001, 100));
    const std::optional<TimePoint> reset = resetTime(start + 4s, start + 6s);
    ASSERT_TRUE(reset);
    EXPECT_LE(*reset, start + 4100ms);
}

// Guards against resets of idle flows at a target that is cut off from the source of the directory for long (found by
// the soak, seeds 119, 120 and 129).
TEST_F(StreamBalancerTest, UnlistedTargetsWhoseAgentAnswersKeepTheirFlows)
{
    const int owner = open();
    apply({TargetUnlisted{200, target(owner).name}}, start + 1s);
    tick(start + 3s);
    packet(start + 6s, callerSegment(AckFlag, 2, 1001, 100));
    receiveFrom(start + 6s + 10ms, StreamMessageKind::Load, owner);
    EXPECT_FALSE(resetsCaller(tick(start + 6s + 50ms)));
    EXPECT_EQ(messages(packet(start + 7s, callerSegment(AckFlag, 2, 1001, 100)), StreamMessageKind::Deliver).size(), 1);
}

// Guards against a reset of a live flow that was opened at a new target before the store published its name: the agent
// decides, since its target either holds or bounces the flow.
TEST_F(StreamBalancerTest, FlowsOfReplacedTargetsAreLeftToTheirAgent)
{
    const int owner = open();
    apply({TargetListed{200, target(owner, 2)}}, start + 1s);
    for (const Duration later : {2s, 4s}) {
        const StreamActions actions = packet(start + later, callerSegment(AckFlag, 2, 1001, 100));
        EXPECT_FALSE(resetsCaller(actions));
        ASSERT_EQ(messages(actions, StreamMessageKind::Deliver).size(), 1);
        EXPECT_EQ(messages(actions, StreamMessageKind::Deliver).front().to, agentAddress(owner));
    }
}

// Guards against flows that are lost when the balancer restarts: it sends all packets of a flow to the same agent for a
// lookup.
TEST_F(StreamBalancerTest, UnknownFlowsAreLocated)
{
    const auto first = messages(packet(start, callerSegment(AckFlag, 2, 1001, 100)), StreamMessageKind::Locate);
    const auto second = messages(packet(start + 10ms, callerSegment(AckFlag, 102, 1001, 100)), StreamMessageKind::Locate);
    ASSERT_EQ(first.size(), 1);
    ASSERT_EQ(second.size(), 1);
    EXPECT_EQ(first.front().to, second.front().to);
    receiveFrom(start + 20ms, StreamMessageKind::Held, 2);
    const auto delivered = messages(packet(start + 30ms, callerSegment(AckFlag, 202, 1001, 100)), StreamMessageKind::Deliver);
    ASSERT_EQ(delivered.size(), 1);
    EXPECT_EQ(delivered.front().to, agentAddress(2));
    receiveFrom(start + 40ms, StreamMessageKind::NotHeld, 2);
    EXPECT_EQ(messages(packet(start + 50ms, callerSegment(AckFlag, 302, 1001, 100)), StreamMessageKind::Locate).size(), 1);
}

// Guards against a flow that is interrupted for long because the agent chosen for its lookup is down.
TEST_F(StreamBalancerTest, SilentLookupAgentsAreReplaced)
{
    const auto first = messages(packet(start, callerSegment(AckFlag, 2, 1001, 100)), StreamMessageKind::Locate);
    ASSERT_EQ(first.size(), 1);
    const auto second = messages(tick(start + 50ms), StreamMessageKind::Locate);
    ASSERT_EQ(second.size(), 1);
    EXPECT_NE(second.front().to, first.front().to);
    EXPECT_EQ(second.front().message.packet, first.front().message.packet);
    // An agent that confirms the lookup is given time.
    StreamMessage busy;
    busy.kind = StreamMessageKind::NotHeld;
    busy.sender = second.front().to;
    busy.target = second.front().message.target;
    busy.flow = flow;
    m_balancer.onMessage(start + 60ms, busy, m_actions);
    EXPECT_TRUE(messages(tick(start + 100ms), StreamMessageKind::Locate).empty());
}

// Guards against callers that wait in vain for an address without a route, and against the refusal of a route that
// other processes already have.
TEST_F(StreamBalancerTest, AddressesWithoutRouteAreRefused)
{
    const FlowKey stray{caller, {0xc6120009, 443}};
    EXPECT_TRUE(resetsCaller(packet(start, callerSegment(SynFlag, 1, 0, 0, stray))));
    StreamMessage later;
    later.kind = StreamMessageKind::Load;
    later.target = target(1).id;
    later.configurationVersion = 2;
    m_balancer.onMessage(start, later, m_actions);
    EXPECT_TRUE(packet(start, callerSegment(SynFlag, 1, 0, 0, stray)).empty());
}

// Guards against a balancer that is reported ready without a directory, or while it stops.
TEST_F(StreamBalancerTest, ReadyOnlyWithADirectory)
{
    StreamBalancer empty(settings(), m_format);
    EXPECT_FALSE(empty.isReady());
    EXPECT_TRUE(m_balancer.isReady());
    m_balancer.beginStop(start, m_actions);
    EXPECT_FALSE(m_balancer.isReady());
}

// Guards against a balancer that is unavailable for longer than needed, since others of its data centre may be
// unavailable too.
TEST_F(StreamBalancerTest, StopEndsSoonAfterTheNetworkHasWithdrawnIt)
{
    m_balancer.beginStop(start, m_actions);
    EXPECT_FALSE(m_balancer.isStopped(start + 900ms));
    m_balancer.onWithdrawn(start + 900ms);
    EXPECT_EQ(m_balancer.nextDeadline(), start + 1s);
    EXPECT_TRUE(m_balancer.isStopped(start + 1s));
    // If the network does not check the readiness, the stop ends after its limit.
    StreamBalancer unasked(settings(), m_format);
    unasked.beginStop(start, m_actions);
    EXPECT_TRUE(unasked.isStopped(start + settings().stopLinger));
}

// Guards against a flow that its balancer no longer finds because another target, which was offered its opening or asked
// about it, has ended.
TEST_F(StreamBalancerTest, EndAtAnAgentThatDoesNotHoldTheFlowIsIgnored)
{
    const int holder = open();
    receiveFrom(start + 1s, StreamMessageKind::Ended, holder % 3 + 1);
    const auto delivered = messages(packet(start + 1s, callerSegment(AckFlag, 2, 1001, 100)), StreamMessageKind::Deliver);
    ASSERT_EQ(delivered.size(), 1);
    EXPECT_EQ(delivered.front().to, agentAddress(holder));
    receiveFrom(start + 2s, StreamMessageKind::Ended, holder);
    EXPECT_EQ(messages(packet(start + 2s, callerSegment(AckFlag, 2, 1001, 100)), StreamMessageKind::Locate).size(), 1);
}

// Guards against an opening that is never offered again because the last of its candidates has refused it.
TEST_F(StreamBalancerTest, RefusalByAnyCandidateEndsAnOpening)
{
    const auto offers = messages(packet(start, callerSegment(SynFlag)), StreamMessageKind::Opening);
    ASSERT_EQ(offers.size(), 1);
    const int other = offers.front().to == agentAddress(1) ? 2 : 1;
    receiveFrom(start + 10ms, StreamMessageKind::Ended, other);
    EXPECT_EQ(m_balancer.flowCount(), 0);
}

// Guards against a reset of a flow that one target has accepted because another one, which was offered the opening later,
// has left.
TEST_F(StreamBalancerTest, LeavingTargetThatDidNotAnswerTheOpeningBreaksNoFlow)
{
    packet(start, callerSegment(SynFlag));
    const auto offers = messages(tick(start + 50ms), StreamMessageKind::Opening);
    ASSERT_EQ(offers.size(), 1);
    const int latest = static_cast<int>(offers.front().to.address - agentAddress(0).address);
    // The answer of the first target has reached the caller, the message of its agent was lost.
    apply({TargetListed{200, target(latest, 1, true)}, TargetUnlisted{201, target(latest).name}}, start + 100ms);
    const StreamActions actions = packet(start + 2s, callerSegment(AckFlag, 2, 1001, 100));
    EXPECT_TRUE(messages(actions, StreamMessageKind::Ping).empty());
    const auto located = messages(actions, StreamMessageKind::Locate);
    ASSERT_EQ(located.size(), 1);
    EXPECT_NE(located.front().to, agentAddress(latest));
    EXPECT_FALSE(resetsCaller(tick(start + 2049ms)));
    EXPECT_FALSE(resetsCaller(tick(start + 2200ms)));
}

// Guards against a flow that has to be located again after the idle timeout under which its latest packet passed, although
// a configuration has raised the timeout since.
TEST_F(StreamBalancerTest, RaisedIdleTimeoutAppliesToIdleFlows)
{
    apply({RoutesPublished{201, routes(2, {route}, 0, 8s)}});
    const int holder = open();
    apply({RoutesPublished{202, routes(3, {route}, 0, 30s)}}, start + 2s);
    for (TimePoint now = start; now < start + 29s; now += 500ms) {
        tick(now);
    }
    const auto delivered = messages(packet(start + 29s, callerSegment(AckFlag, 2, 1001, 100)), StreamMessageKind::Deliver);
    ASSERT_EQ(delivered.size(), 1);
    EXPECT_EQ(delivered.front().to, agentAddress(holder));
}

// Guards against a cache that keeps flows for ever after the idle timeout was lowered or their callers have finished.
TEST_F(StreamBalancerTest, FlowsOutOfUseAreRemoved)
{
    apply({RoutesPublished{201, routes(2, {route}, 0, 60s)}});
    open();
    apply({RoutesPublished{202, routes(3, {route}, 0, 2s)}}, start + 1s);
    for (TimePoint now = start; now < start + 16s; now += 500ms) {
        tick(now);
    }
    EXPECT_EQ(m_balancer.flowCount(), 0);
    open(start + 16s);
    packet(start + 17s, callerSegment(AckFlag | FinFlag, 2, 1001));
    for (TimePoint now = start + 16s; now < start + 32s; now += 500ms) {
        tick(now);
    }
    EXPECT_EQ(m_balancer.flowCount(), 0);
}

// Guards against packets that go to the target of an earlier flow of the caller's port, whose opening passed this balancer
// while that of the present one passed another.
TEST_F(StreamBalancerTest, EntryOfAnEarlierFlowIsNotUsed)
{
    open();
    const StreamActions later = packet(start + 1s, callerSegment(AckFlag, 7'000'002, 9'000'001, 100));
    EXPECT_TRUE(messages(later, StreamMessageKind::Deliver).empty());
    EXPECT_EQ(messages(later, StreamMessageKind::Locate).size(), 1);
}

// Guards against a reset of an open flow because the target of an earlier flow of the caller's port is gone.
TEST_F(StreamBalancerTest, EndOfTheTargetOfAnEarlierFlowBreaksNoFlow)
{
    const int holder = open();
    apply({TargetUnlisted{200, target(holder).name}}, start + 1s);
    m_balancer.onTick(start + 10s, m_actions);
    packet(start + 10s, callerSegment(AckFlag, 7'000'002, 9'000'001, 100));
    EXPECT_EQ(resetTime(start + 10s, start + 14s), std::nullopt);
}
