#include "streamtestdata.h"

#include <gtest/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

const Endpoint balancer{0x0a010064, agentPort};
/// A time at which the agent has seen every flow of its target.
const TimePoint settled = start + 20s;

class StreamAgentTest : public testing::Test
{
protected:
    StreamAgentTest()
        : m_agent(settings(), m_format, start)
    {
        // The probe at the start finds the target running.
        m_agent.onTick(start, m_ignored);
        m_agent.onTargetProbed(start, true, m_ignored);
        apply(reading({target(1), target(2), target(3)}));
    }

    static StreamAgentSettings settings()
    {
        StreamAgentSettings settings;
        settings.endpoint = agentAddress(1);
        settings.target = targetAddress(1);
        settings.service = service;
        settings.dataCentre = QStringLiteral("dc1");
        settings.directory.agentPort = agentPort;
        // The former services of the routes are known, unless a test is about them.
        settings.directory.routeHistory.isInitialStart = true;
        return settings;
    }

    void apply(const std::vector<DirectoryChange> &changes, TimePoint now = start)
    {
        for (const DirectoryChange &change : changes) {
            m_agent.onDirectoryChange(now, change, m_ignored);
        }
    }

    static StreamMessage message(StreamMessageKind kind, const Segment &segment, std::vector<TargetId> candidates = {})
    {
        StreamMessage message;
        message.kind = kind;
        message.configurationVersion = 1;
        message.sender = balancer;
        message.balancer = balancer;
        message.service = service;
        message.target = target(1).id;
        message.incarnation = target(1).incarnation;
        message.candidates = std::move(candidates);
        message.isServiceAllowed = kind == StreamMessageKind::Probe;
        message.packet = PlainFormat::encode(segment);
        return message;
    }

    StreamActions receive(TimePoint now, const StreamMessage &message)
    {
        StreamActions actions;
        m_agent.onMessage(now, message, actions);
        return actions;
    }

    StreamActions fromTarget(TimePoint now, const Segment &segment)
    {
        StreamActions actions;
        m_agent.onPacket(now, PlainFormat::encode(segment), actions);
        return actions;
    }

    /// The target returns the segment that the actions sent to it.
    StreamActions bounce(TimePoint now, const StreamActions &delivered)
    {
        Segment segment = segments<SendToStreamTarget>(delivered).front();
        segment.flags |= BouncedFlag;
        return fromTarget(now, segment);
    }

    /// Target number @p index does not hold the flow.
    static StreamMessage denialOf(int index)
    {
        StreamMessage denial;
        denial.kind = StreamMessageKind::NotHeld;
        denial.sender = agentAddress(index);
        denial.target = target(index).id;
        denial.flow = flow;
        return denial;
    }

    /// The answer of an agent that has followed the versions for long, up to the given one.
    static StreamMessage routeHistoryOf(int index, quint64 version, std::vector<FormerServiceReport> formerServices)
    {
        StreamMessage answer;
        answer.kind = StreamMessageKind::RouteHistory;
        answer.sender = agentAddress(index);
        answer.configurationVersion = version;
        answer.formerServices = std::move(formerServices);
        answer.partCount = 1;
        answer.followedMilliseconds = 120'000;
        return answer;
    }

    StreamActions reportNotHeld(TimePoint now, int index)
    {
        return receive(now, denialOf(index));
    }

    /// A configuration with another idle timeout is published.
    void setIdleTimeout(TimePoint now, quint64 version, Duration timeout)
    {
        apply({RoutesPublished{100 + version, routes(version, {route}, 0, timeout)}}, now);
    }

    /// Calls the agent at regular intervals.
    void tickUntil(TimePoint from, TimePoint to)
    {
        for (TimePoint now = from; now <= to; now += 100ms) {
            m_agent.onTick(now, m_ignored);
            m_agent.onTargetProbed(now, true, m_ignored);
        }
    }

    /// The caller sends a request on the flow; whether its packet is passed to the target, and nobody else is asked.
    bool reachesTarget(TimePoint now, StreamMessageKind kind = StreamMessageKind::Deliver, quint16 port = caller.port)
    {
        const StreamActions actions = receive(now, message(kind, callerSegment(AckFlag, 2, 1001, 100, {{caller.address, port}, route})));
        return segments<SendToStreamTarget>(actions).size() == 1 && messages(actions, StreamMessageKind::NotHeld).empty();
    }

    /// A balancer asks the agent to look up the flow of a caller's port.
    static StreamMessage locate(quint16 port)
    {
        return message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100, {{caller.address, port}, route}));
    }

    /// The lookup probes for the flow of the caller's port.
    static int probesOf(const StreamActions &actions, quint16 port)
    {
        const std::vector<SendStreamMessage> probes = messages(actions, StreamMessageKind::Probe);
        return static_cast<int>(
            std::ranges::count_if(probes, [port](const SendStreamMessage &probe) { return PlainFormat().decode(probe.message.packet)->source.port == port; }));
    }

    /// The packets for the local target of the flow of the caller's port.
    static int deliveriesOf(const StreamActions &actions, quint16 port)
    {
        const std::vector<Segment> sent = segments<SendToStreamTarget>(actions);
        return static_cast<int>(std::ranges::count_if(sent, [port](const Segment &segment) { return segment.source.port == port; }));
    }

    /// A connection probe of the target is refused; it begins at this time if one is due.
    StreamActions refuseConnection(TimePoint now)
    {
        m_agent.onTick(now, m_ignored);
        StreamActions actions;
        m_agent.onTargetProbed(now, false, actions);
        return actions;
    }

    /// The agent of target number @p index announces its target, which is not listed, or the end of it.
    static StreamMessage announcement(StreamMessageKind kind, int index)
    {
        StreamMessage announcement;
        announcement.kind = kind;
        announcement.sender = agentAddress(index);
        announcement.service = service;
        announcement.targetAddress = targetAddress(index);
        return announcement;
    }

    static bool probesTarget(const StreamActions &actions)
    {
        return std::ranges::any_of(actions, [](const StreamAction &action) { return std::holds_alternative<ProbeStreamTarget>(action); });
    }

    void open(TimePoint now)
    {
        receive(now, message(StreamMessageKind::Opening, callerSegment(SynFlag)));
        fromTarget(now, targetSegment(SynFlag | AckFlag, 1000));
        receive(now, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001)));
    }

    PlainFormat m_format;
    StreamAgent m_agent;
    StreamActions m_ignored;
};

}

// Guards against a balancer that treats a delivered opening as an open flow: only the target's answer confirms it.
TEST_F(StreamAgentTest, OpeningIsHeldOnceTheTargetAnswers)
{
    const StreamActions delivered = receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag), {target(2).id}));
    EXPECT_EQ(segments<SendToStreamTarget>(delivered).size(), 1);
    EXPECT_TRUE(messages(delivered, StreamMessageKind::Held).empty());
    const StreamActions answered = fromTarget(settled, targetSegment(SynFlag | AckFlag, 1000));
    ASSERT_EQ(messages(answered, StreamMessageKind::Held).size(), 1);
    EXPECT_EQ(messages(answered, StreamMessageKind::Held).front().to, balancer);
    EXPECT_EQ(segments<SendToStreamCaller>(answered).size(), 1);
}

// Guards against an opening that is lost at a full target while others have room.
TEST_F(StreamAgentTest, BouncedOpeningGoesToTheNextCandidate)
{
    const StreamActions delivered = receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag), {target(2).id, target(3).id}));
    const StreamActions forwarded = bounce(settled, delivered);
    const auto next = messages(forwarded, StreamMessageKind::Opening);
    ASSERT_EQ(next.size(), 1);
    EXPECT_EQ(next.front().to, agentAddress(2));
    EXPECT_EQ(next.front().message.candidates, std::vector{target(3).id});
    EXPECT_EQ(m_format.decode(next.front().message.packet)->flags, SynFlag);
}

// Guards against a caller that waits 1.4 s for an opening that no target can accept.
TEST_F(StreamAgentTest, OpeningWithoutCandidatesIsReset)
{
    const StreamActions delivered = receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag)));
    const StreamActions refused = bounce(settled, delivered);
    EXPECT_TRUE(resetsCaller(refused));
    EXPECT_EQ(messages(refused, StreamMessageKind::Ended).size(), 1);
}

// Guards against the refusal of openings that name the previous target at the address, which served the same service.
TEST_F(StreamAgentTest, OpeningForAnEarlierTargetIsAccepted)
{
    apply({TargetListed{200, target(1, 2)}}, settled);
    const StreamActions delivered = receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag)));
    EXPECT_EQ(segments<SendToStreamTarget>(delivered).size(), 1);
}

// Guards against two answers to one opening: a segment belongs to the target whose answer it acknowledges.
TEST_F(StreamAgentTest, SegmentOfAnotherAnswerIsForwarded)
{
    receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag)));
    fromTarget(settled, targetSegment(SynFlag | AckFlag, 1000));
    const StreamActions forwarded = receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 5'000'001), {target(2).id}));
    EXPECT_TRUE(segments<SendToStreamTarget>(forwarded).empty());
    const auto next = messages(forwarded, StreamMessageKind::Deliver);
    ASSERT_EQ(next.size(), 1);
    EXPECT_EQ(next.front().to, agentAddress(2));
}

// Guards against flows that break when the agent restarts: the target may hold any flow and decides.
TEST_F(StreamAgentTest, RestartedAgentLetsTheTargetDecide)
{
    const StreamActions delivered = receive(start + 1s, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    EXPECT_EQ(segments<SendToStreamTarget>(delivered).size(), 1);
    EXPECT_FALSE(resetsCaller(delivered));
    const StreamActions answered = fromTarget(start + 1s, targetSegment(AckFlag, 1001, 500));
    EXPECT_EQ(messages(answered, StreamMessageKind::Held).size(), 1);
    const StreamActions later = receive(start + 2s, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 102, 1501, 100)));
    EXPECT_EQ(segments<SendToStreamTarget>(later).front().tag, 0);
}

// Guards against a packet that reaches another service because a target of it has taken over the address.
TEST_F(StreamAgentTest, PacketsForAnotherServiceReachNoTarget)
{
    for (const StreamMessageKind kind : {StreamMessageKind::Opening, StreamMessageKind::Deliver, StreamMessageKind::Probe, StreamMessageKind::Locate}) {
        StreamMessage stray = message(kind, callerSegment(kind == StreamMessageKind::Opening ? SynFlag : AckFlag, 2, 1001, 100));
        stray.service = serviceIdOf("another");
        EXPECT_TRUE(segments<SendToStreamTarget>(receive(start + 1s, stray)).empty());
    }
}

// Guards against a lookup that never ends at the agent whose target holds the flow: packets of the target confirm it.
TEST_F(StreamAgentTest, ProbedAgentReportsWhenItsTargetHoldsTheFlow)
{
    StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
    probe.sender = agentAddress(3);
    EXPECT_TRUE(messages(receive(start + 1s, probe), StreamMessageKind::Held).empty());
    const auto held = messages(fromTarget(start + 1s, targetSegment(AckFlag, 1001, 500)), StreamMessageKind::Held);
    ASSERT_EQ(held.size(), 2);
    EXPECT_EQ(held.front().to, agentAddress(3));
    EXPECT_EQ(held.back().to, balancer);
}

// Guards against packets that go to a target only because it remembers an earlier flow of the caller's port; the reset with
// which it answers them is not for the present flow.
TEST_F(StreamAgentTest, AnswerOfAnEarlierFlowDeniesTheFlow)
{
    for (const quint8 flags : {quint8(AckFlag), quint8(RstFlag | AckFlag), quint8(RstFlag)}) {
        StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
        probe.sender = agentAddress(3);
        receive(start + 1s, probe);
        const StreamActions answered = fromTarget(start + 1s, targetSegment(flags, 5'000'000));
        EXPECT_TRUE(messages(answered, StreamMessageKind::Held).empty());
        EXPECT_TRUE(segments<SendToStreamCaller>(answered).empty());
        const auto denials = messages(answered, StreamMessageKind::NotHeld);
        ASSERT_EQ(denials.size(), 1);
        EXPECT_EQ(denials.front().to, agentAddress(3));
    }
}

// Guards against a reset of an open flow by a target that does not hold it: it may answer with the numbers of the packet.
TEST_F(StreamAgentTest, ResetOfATargetDoesNotConfirmTheFlow)
{
    StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
    probe.sender = agentAddress(3);
    receive(start + 1s, probe);
    Segment reset = targetSegment(RstFlag | AckFlag, 1001);
    reset.acknowledgement = 2;
    const StreamActions answered = fromTarget(start + 1s, reset);
    EXPECT_TRUE(segments<SendToStreamCaller>(answered).empty());
    EXPECT_TRUE(messages(answered, StreamMessageKind::Held).empty());
    EXPECT_EQ(messages(answered, StreamMessageKind::NotHeld).size(), 1);
}

// Guards against the same at an agent that has a record of the earlier flow, also an open one.
TEST_F(StreamAgentTest, RecordOfAnEarlierFlowDeniesTheFlow)
{
    open(settled);
    const Segment later = callerSegment(AckFlag, 7'000'002, 9'000'001, 100);
    for (const StreamMessageKind kind : {StreamMessageKind::Deliver, StreamMessageKind::Probe, StreamMessageKind::Locate}) {
        const StreamActions actions = receive(settled, message(kind, later));
        EXPECT_TRUE(segments<SendToStreamTarget>(actions).empty());
        EXPECT_TRUE(messages(actions, StreamMessageKind::Held).empty());
    }
    EXPECT_TRUE(reachesTarget(settled)) << "the earlier flow itself";
}

// Guards against a caller whose opening is dropped because one that it has given up still waits under the same port.
TEST_F(StreamAgentTest, LaterOpeningReplacesTheQueuedOne)
{
    for (quint16 port = 1; m_agent.load(settled).requestsInProgress < 4; ++port) {
        receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag, 1, 0, 0, {{caller.address, port}, route})));
    }
    const StreamActions queued = receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag, 5)));
    EXPECT_EQ(messages(queued, StreamMessageKind::Waiting).size(), 1);
    receive(settled + 10ms, message(StreamMessageKind::Opening, callerSegment(SynFlag, 7'000'000)));
    StreamActions released;
    m_agent.onTick(settled + 100ms, released);
    const std::vector<Segment> openings = segments<SendToStreamTarget>(released);
    ASSERT_EQ(openings.size(), 1);
    EXPECT_EQ(openings.front().sequence, 7'000'000);
}

// Guards against a reset of an open flow because targets have denied an earlier flow of the caller's port.
TEST_F(StreamAgentTest, DenialsOfAnEarlierFlowEndNoLookup)
{
    receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    reportNotHeld(settled + 1ms, 2);
    const StreamActions later = receive(settled + 300ms, message(StreamMessageKind::Locate, callerSegment(AckFlag, 7'000'002, 9'000'001, 100)));
    EXPECT_EQ(messages(later, StreamMessageKind::Probe).size(), 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 301ms, 3)));
    EXPECT_TRUE(resetsCaller(reportNotHeld(settled + 302ms, 2)));
}

// Guards against a reset of an open flow because of an entry that another writer has left with the address of its target, and whose
// denial is read first.
TEST_F(StreamAgentTest, EveryEntryOfAnAddressIsAsked)
{
    StreamTarget foreign = target(2, 9);
    foreign.service = otherService;
    apply({RoutesPublished{150, routesTo(2, {{service, 1}, {otherService, 1}}), true}, TargetListed{200, foreign}});
    const StreamActions probed = receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    EXPECT_EQ(messages(probed, StreamMessageKind::Probe).size(), 3);
    StreamMessage denial = denialOf(2);
    denial.target = foreign.id;
    EXPECT_FALSE(resetsCaller(receive(settled, denial)));
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled, 3)));
    EXPECT_TRUE(resetsCaller(reportNotHeld(settled, 2)));
}

// Guards against an unconfirmed flow that is reported as held: the target may not be running, and the caller would wait
// in vain.
TEST_F(StreamAgentTest, UnconfirmedFlowIsNotReportedAsHeld)
{
    StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
    probe.sender = agentAddress(3);
    receive(start + 1s, probe);
    const StreamActions again = receive(start + 2s, probe);
    EXPECT_TRUE(messages(again, StreamMessageKind::Held).empty());
    EXPECT_EQ(segments<SendToStreamTarget>(again).size(), 1);
    EXPECT_EQ(messages(bounce(start + 2s, again), StreamMessageKind::NotHeld).size(), 1);
}

// Guards against a denial that the agent that runs the lookup cannot match because it has this target under an earlier name.
TEST_F(StreamAgentTest, DenialNamesTheTargetThatWasProbed)
{
    apply({TargetListed{200, target(1, 2)}}, start + 1s);
    StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
    probe.sender = agentAddress(3);
    const StreamActions delivered = receive(start + 2s, probe);
    ASSERT_EQ(segments<SendToStreamTarget>(delivered).size(), 1);
    const auto denials = messages(bounce(start + 2s, delivered), StreamMessageKind::NotHeld);
    ASSERT_EQ(denials.size(), 1);
    EXPECT_EQ(denials.front().message.target, target(1).id);
}

// Guards against resets after a first read that was outdated, or that listed another entry with the address of the target:
// a later entry does not prove that the target has started within the lifetime of this process.
TEST_F(StreamAgentTest, LaterEntryOfTheTargetDoesNotEndTheAdoption)
{
    apply({TargetListed{200, target(1, 2)}}, start + 1s);
    EXPECT_TRUE(reachesTarget(start + 2s, StreamMessageKind::Probe, 1));
    apply({TargetListed{201, target(1, 3)}}, start + 3s);
    EXPECT_TRUE(reachesTarget(start + 4s, StreamMessageKind::Probe, 2));
}

// Guards against callers that wait until their deadline on a flow that no target holds, and against a reset before
// every target has denied the flow.
TEST_F(StreamAgentTest, FlowThatEveryTargetDeniesIsReset)
{
    const StreamActions probed = receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    EXPECT_EQ(messages(probed, StreamMessageKind::Probe).size(), 2);
    EXPECT_FALSE(resetsCaller(probed));
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled, 2)));
    const StreamActions unheld = reportNotHeld(settled, 3);
    ASSERT_TRUE(resetsCaller(unheld));
    EXPECT_EQ(segments<SendToStreamCaller>(unheld).front().sequence, 1001);
}

// Guards against a retransmitted packet that is stuck behind a lookup because one agent was down for a moment: that
// agent is sent the packet too.
TEST_F(StreamAgentTest, LaterPacketsGoToSilentAgents)
{
    receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    reportNotHeld(settled, 2);
    const auto probes = messages(receive(settled + 399ms, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100))), StreamMessageKind::Probe);
    ASSERT_EQ(probes.size(), 1);
    EXPECT_EQ(probes.front().to, agentAddress(3));
}

// Guards against a reset while the source is unavailable: the flow's target may be one whose entry is missing.
TEST_F(StreamAgentTest, NoResetWhileTheDirectoryIsUnsettled)
{
    apply({SourceSwitched{false, QStringLiteral("down")}}, settled);
    receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    reportNotHeld(settled, 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled, 3)));
}

// Guards against a reset while one agent does not answer: its target may hold the flow.
TEST_F(StreamAgentTest, SilentAgentPreventsAReset)
{
    receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    reportNotHeld(settled, 2);
    StreamActions later;
    m_agent.onTick(settled + 400ms, later);
    EXPECT_FALSE(resetsCaller(later));
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 500ms, 3)));
}

// Guards against callers that wait until their deadline after their target has lost the flow.
TEST_F(StreamAgentTest, FlowThatItsTargetBouncesIsReset)
{
    open(settled);
    const StreamActions delivered = receive(settled + 1s, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    const StreamActions broken = bounce(settled + 1s, delivered);
    ASSERT_TRUE(resetsCaller(broken));
    EXPECT_EQ(segments<SendToStreamCaller>(broken).front().sequence, 1001);
    EXPECT_EQ(messages(broken, StreamMessageKind::Ended).size(), 1);
}

// Guards against a reset of a flow that both ends have finished: its last segment may arrive late.
TEST_F(StreamAgentTest, FinishedFlowIsNotReset)
{
    open(settled);
    receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag | FinFlag, 2, 1001)));
    fromTarget(settled, targetSegment(AckFlag | FinFlag, 1001));
    const StreamActions delivered = receive(settled + 1s, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 3, 1002)));
    EXPECT_FALSE(resetsCaller(bounce(settled + 1s, delivered)));
}

// Guards against a planned stop that cuts off a request although a moment without requests was near.
TEST_F(StreamAgentTest, PlannedStopWaitsForRequests)
{
    open(settled);
    receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    m_agent.beginStop(settled, m_ignored);
    EXPECT_FALSE(m_agent.isStopped(settled + 1s));
    const StreamActions refused = receive(settled + 1s, message(StreamMessageKind::Opening, callerSegment(SynFlag, 900), {target(2).id}));
    EXPECT_EQ(messages(refused, StreamMessageKind::Opening).size(), 1);
    fromTarget(settled + 1s, targetSegment(AckFlag, 1001, 500));
    EXPECT_TRUE(m_agent.isStopped(settled + 1s));
}

// Guards against a request that has just been accepted and is cut off by a planned stop, on a flow that no other target could
// take.
TEST_F(StreamAgentTest, PlannedStopServesOpeningsWithoutAnotherTarget)
{
    m_agent.beginStop(settled, m_ignored);
    const StreamActions taken = receive(settled + 290ms, message(StreamMessageKind::Opening, callerSegment(SynFlag, 900)));
    EXPECT_FALSE(resetsCaller(taken));
    EXPECT_EQ(segments<SendToStreamTarget>(taken).size(), 1);
    fromTarget(settled + 291ms, targetSegment(SynFlag | AckFlag));
    EXPECT_FALSE(m_agent.isStopped(settled + 300ms)) << "the request of the caller is on its way";
    receive(settled + 300ms, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 901, 1001, 100)));
    EXPECT_FALSE(m_agent.isStopped(settled + 310ms));
    fromTarget(settled + 320ms, targetSegment(AckFlag, 1001, 500));
    EXPECT_TRUE(m_agent.isStopped(settled + 320ms));
}

// Guards against callers that are refused because their balancer reads a configuration later than the agents.
TEST_F(StreamAgentTest, OpeningsByAnOutdatedConfigurationAreRedirected)
{
    StreamTarget other = target(4);
    other.service = otherService;
    apply({TargetListed{201, other}, RoutesPublished{202, routesTo(2, {{otherService, 1}})}});
    const StreamActions actions = receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag), {target(2).id}));
    const std::vector<SendStreamMessage> forwarded = messages(actions, StreamMessageKind::Opening);
    ASSERT_EQ(forwarded.size(), 1);
    EXPECT_EQ(forwarded.front().to, agentAddress(4));
    EXPECT_EQ(forwarded.front().message.service, otherService);
    EXPECT_EQ(forwarded.front().message.configurationVersion, 2);
    EXPECT_FALSE(resetsCaller(actions));
    apply({RoutesPublished{203, routesTo(3, {})}});
    EXPECT_TRUE(resetsCaller(receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag, 900)))));
}

// Guards against openings that wait for ever behind requests that were answered long ago: a restarted agent sees a
// retransmitted request whose answer has already passed, and the target only acknowledges it.
TEST_F(StreamAgentTest, UnansweredRequestsDoNotFillTheTarget)
{
    for (quint16 port = 1; port <= 8; ++port) {
        const FlowKey busy{{caller.address, port}, route};
        receive(start + 1s, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100, busy)));
        fromTarget(start + 1s, targetSegment(AckFlag, 1001, 0, busy));
    }
    EXPECT_EQ(m_agent.load(start + 1s).requestsInProgress, 8);
    StreamMessage opening = message(StreamMessageKind::Opening, callerSegment(SynFlag), {target(2).id});
    // Has used up its hops for service hunting.
    opening.hopCount = StreamAgentSettings{}.busyHops;
    EXPECT_TRUE(segments<SendToStreamTarget>(receive(start + 1100ms, opening)).empty());
    StreamActions later;
    for (Duration time = 1100ms; time < 1400ms; time += 10ms) {
        m_agent.onTick(start + time, later);
    }
    EXPECT_EQ(segments<SendToStreamTarget>(later).size(), 1);
    EXPECT_TRUE(messages(later, StreamMessageKind::Opening).empty());
}

// Guards against openings that wait for a busy target while another one has a free slot, and against openings that are
// forwarded in circles or refused because no other target is left.
TEST_F(StreamAgentTest, OpeningsHuntForAFreeSlot)
{
    for (quint16 port = 1; port <= 2; ++port) {
        const FlowKey busy{{caller.address, port}, route};
        receive(start + 1s, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100, busy)));
        fromTarget(start + 1s, targetSegment(AckFlag, 1001, 0, busy));
    }
    const FlowKey other{{caller.address, 50}, route};
    StreamMessage opening = message(StreamMessageKind::Opening, callerSegment(SynFlag, 1, 0, 0, other), {target(2).id});
    const StreamActions forwarded = receive(start + 1001ms, opening);
    EXPECT_TRUE(segments<SendToStreamTarget>(forwarded).empty());
    ASSERT_EQ(messages(forwarded, StreamMessageKind::Opening).size(), 1);
    EXPECT_EQ(messages(forwarded, StreamMessageKind::Opening).front().message.hopCount, 1);
    EXPECT_EQ(messages(forwarded, StreamMessageKind::Opening).front().message.target, target(2).id);
    // If no other target has a free slot either, the opening is queued at the first one.
    EXPECT_EQ(messages(forwarded, StreamMessageKind::Opening).front().message.candidates, std::vector<TargetId>{target(1).id});
    opening.candidates.clear();
    const StreamActions kept = receive(start + 1002ms, opening);
    EXPECT_TRUE(messages(kept, StreamMessageKind::Opening).empty());
    EXPECT_FALSE(resetsCaller(kept));
}

// Guards against callers that learn only after half of their timeout that a busy target is too late for them. Load: 100 openings at once
// for 2 slots and 20 ms of work; those behind about 75 of them cannot be answered within 800 ms.
TEST_F(StreamAgentTest, OpeningsThatWouldBeTooLateArePassedOnAtOnce)
{
    apply(
        {RoutesPublished{201, std::make_shared<const RouteTable>(2, std::vector<Route>{{route, {{service, 1}}, 1, 800ms, 200ms}}, routes()->services(), 15s)}});
    m_agent.onSettings({false, false, true, 0});
    const auto offer = [this](TimePoint now, quint16 port, std::vector<TargetId> candidates) {
        StreamMessage opening = message(StreamMessageKind::Opening, callerSegment(SynFlag, 1, 0, 0, {{caller.address, port}, route}), std::move(candidates));
        // Has used up its hops for service hunting.
        opening.hopCount = StreamAgentSettings{}.busyHops;
        return receive(now, opening);
    };
    int waiting = 0;
    for (quint16 port = 1; port <= 100; ++port) {
        waiting += static_cast<int>(messages(offer(settled, port, {}), StreamMessageKind::Waiting).size());
    }
    EXPECT_GT(waiting, 70);
    EXPECT_LT(waiting, 80);
    const StreamActions passedOn = offer(settled, 101, {target(2).id});
    ASSERT_EQ(messages(passedOn, StreamMessageKind::Opening).size(), 1);
    EXPECT_EQ(messages(passedOn, StreamMessageKind::Opening).front().to, agentAddress(2));
    EXPECT_TRUE(messages(passedOn, StreamMessageKind::Waiting).empty());
    EXPECT_TRUE(resetsCaller(offer(settled, 102, {}))) << "the last candidate refuses it";
    EXPECT_LE(m_agent.nextDeadline(), settled + 780ms);
    // Without the setting, the limit is half of the timeout again.
    m_agent.onSettings({});
    EXPECT_LE(m_agent.nextDeadline(), settled + 400ms);
    StreamActions later;
    m_agent.onTick(settled + 400ms, later);
    EXPECT_EQ(m_agent.load(settled + 400ms).requestsInProgress, 0);
}

// Guards against a load that counts retransmitted segments as requests.
TEST_F(StreamAgentTest, RepeatedSegmentsAreNoRequests)
{
    open(settled);
    const StreamMessage request = message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100));
    receive(settled, request);
    fromTarget(settled + 20ms, targetSegment(AckFlag, 1001, 500));
    receive(settled + 200ms, request);
    EXPECT_EQ(m_agent.load(settled + 200ms).requestsInProgress, 0);
    EXPECT_EQ(m_agent.load(settled + 200ms).serviceMicroseconds, 20'000);
}

// Guards against callers that wait for the answer of a target whose process has ended.
TEST_F(StreamAgentTest, FlowsOfAnEndedTargetAreReset)
{
    open(settled);
    receive(settled + 10ms, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    StreamActions actions;
    m_agent.onTick(settled + 80ms, actions);
    EXPECT_FALSE(probesTarget(actions)) << "the target may still work on the request";
    m_agent.onTick(settled + 110ms, actions);
    EXPECT_TRUE(probesTarget(actions));
    actions.clear();
    m_agent.onTargetProbed(settled + 111ms, false, actions);
    EXPECT_TRUE(resetsCaller(actions));
    EXPECT_EQ(messages(actions, StreamMessageKind::Ended).size(), 1);
    const StreamActions forwarded = receive(settled + 120ms, message(StreamMessageKind::Opening, callerSegment(SynFlag), {target(2).id}));
    EXPECT_TRUE(segments<SendToStreamTarget>(forwarded).empty());
    EXPECT_EQ(messages(forwarded, StreamMessageKind::Opening).size(), 1);
}

// Guards against a new target that gets no flows because its predecessor on the machine had ended.
TEST_F(StreamAgentTest, NextTargetGetsFlowsAfterAnEnd)
{
    StreamActions actions;
    m_agent.onTargetProbed(settled, false, actions);
    actions.clear();
    m_agent.onTick(settled + 1s, actions);
    EXPECT_TRUE(probesTarget(actions));
    m_agent.onTargetProbed(settled + 1s, true, actions);
    const StreamActions delivered = receive(settled + 1s, message(StreamMessageKind::Opening, callerSegment(SynFlag), {target(2).id}));
    EXPECT_EQ(segments<SendToStreamTarget>(delivered).size(), 1);
}

// Guards against resets of open flows because a slow target was silent although it accepts connections.
TEST_F(StreamAgentTest, SilentTargetThatAcceptsConnectionsKeepsItsFlows)
{
    open(settled);
    receive(settled + 10ms, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    StreamActions actions;
    m_agent.onTick(settled + 110ms, actions);
    ASSERT_TRUE(probesTarget(actions));
    actions.clear();
    m_agent.onTargetProbed(settled + 111ms, true, actions);
    EXPECT_TRUE(actions.empty());
    m_agent.onTick(settled + 500ms, actions);
    EXPECT_FALSE(probesTarget(actions)) << "it was found alive, and no packet was sent to it since";
}

// Guards against a slow shutdown of a machine: once its target has ended, there is no request to wait for.
TEST_F(StreamAgentTest, PlannedStopEndsAtOnceIfTheTargetHasEnded)
{
    open(settled);
    receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    StreamActions actions;
    m_agent.beginStop(settled + 10ms, actions);
    EXPECT_TRUE(probesTarget(actions));
    EXPECT_FALSE(m_agent.isStopped(settled + 20ms));
    m_agent.onTargetProbed(settled + 20ms, false, actions);
    EXPECT_TRUE(m_agent.isStopped(settled + 20ms));
}

// Guards against an agent that wastes processor time on probing a target with a long service time.
TEST_F(StreamAgentTest, SlowTargetsAreNotProbedEarly)
{
    open(settled);
    quint32 sequence = 2;
    TimePoint now = settled;
    for (int number = 0; number < 5; ++number) {
        receive(now, message(StreamMessageKind::Deliver, callerSegment(AckFlag, sequence, 1001, 100)));
        sequence += 100;
        now += 50ms;
        fromTarget(now, targetSegment(AckFlag, 1001, 500));
    }
    receive(now, message(StreamMessageKind::Deliver, callerSegment(AckFlag, sequence, 1001, 100)));
    StreamActions actions;
    m_agent.onTick(now + 190ms, actions);
    EXPECT_FALSE(probesTarget(actions));
    m_agent.onTick(now + 210ms, actions);
    EXPECT_TRUE(probesTarget(actions));
}

// Guards against healthy targets that are counted as failing: the last segment of a flow may overtake the answer before
// it.
TEST_F(StreamAgentTest, AnEndThatOvertakesTheAnswerIsNoFailure)
{
    open(settled);
    receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    fromTarget(settled + 30ms, targetSegment(FinFlag | AckFlag, 1501));
    fromTarget(settled + 30ms, targetSegment(AckFlag, 1001, 500));
    EXPECT_EQ(m_agent.load(settled + 30ms).failurePermille, 0);
    EXPECT_EQ(m_agent.load(settled + 30ms).requestsInProgress, 0);
}

// Guards against a target that closes flows instead of answering and still gets new ones.
TEST_F(StreamAgentTest, AnEndInPlaceOfTheAnswerIsAFailure)
{
    open(settled);
    receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    fromTarget(settled + 1ms, targetSegment(FinFlag | AckFlag, 1001));
    EXPECT_GT(m_agent.load(settled + 1ms).failurePermille, 0);
    EXPECT_EQ(m_agent.load(settled + 1ms).requestsInProgress, 0);
}

// Guards against resets of flows at a target that is alive but cut off from the source of the directory for long (found
// by the soak, seed 11).
TEST_F(StreamAgentTest, DepartedTargetsAreProbedBeforeAReset)
{
    apply({TargetUnlisted{200, target(3).name}}, settled);
    const TimePoint departed = settled + 3s;
    StreamActions actions;
    m_agent.onTick(departed, actions);
    const StreamActions probed = receive(departed, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    EXPECT_EQ(messages(probed, StreamMessageKind::Probe).size(), 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(departed + 2ms, 2))) << "the unlisted target has not answered";
    StreamMessage held;
    held.kind = StreamMessageKind::Held;
    held.sender = agentAddress(3);
    held.target = target(3).id;
    held.flow = flow;
    receive(departed + 3ms, held);
    actions.clear();
    m_agent.onTick(departed + 100ms, actions);
    EXPECT_FALSE(resetsCaller(actions));
}

// Guards against callers that wait in vain because a machine is gone for good, and against a reset while the agent of a
// target that leaves is restarted as planned: it answers later than the target's entry is removed.
TEST_F(StreamAgentTest, UnlistedTargetsAreGoneOnceTheirAgentsWereSilentForLong)
{
    apply({TargetUnlisted{200, target(3).name}}, settled);
    const TimePoint departed = settled + 3s;
    StreamActions actions;
    m_agent.onTick(departed, actions);
    receive(departed, locate(caller.port));
    reportNotHeld(departed + 2ms, 2);
    EXPECT_LE(m_agent.nextDeadline(), departed + 60ms);
    for (const Duration copy : {200ms, 600ms, 1400ms}) {
        m_agent.onTick(departed + copy - 100ms, actions);
        receive(departed + copy, locate(caller.port));
    }
    m_agent.onTick(departed + 1460ms, actions);
    EXPECT_FALSE(resetsCaller(actions));
    receive(departed + 2s, locate(caller.port));
    m_agent.onTick(departed + 2060ms, actions);
    EXPECT_TRUE(resetsCaller(actions));
    // The machine is known to be gone: other flows are reset at once.
    actions.clear();
    receive(departed + 2100ms, locate(1));
    StreamMessage denial;
    denial.kind = StreamMessageKind::NotHeld;
    denial.sender = agentAddress(2);
    denial.target = target(2).id;
    denial.flow = {{caller.address, 1}, route};
    receive(departed + 2102ms, denial);
    m_agent.onTick(departed + 2160ms, actions);
    EXPECT_TRUE(resetsCaller(actions));
}

// Guards against resets by an agent that was started while entries were missing, of which its peers have a record.
TEST_F(StreamAgentTest, PeersThatMissTargetsPreventAReset)
{
    receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    StreamMessage denial = denialOf(2);
    denial.isUnsettled = true;
    receive(settled + 1ms, denial);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 2ms, 3)));
}

// Guards against agents that do not report missing entries to others.
TEST_F(StreamAgentTest, DenialsReportMissingTargets)
{
    const Segment segment = callerSegment(AckFlag, 2, 1001, 100);
    EXPECT_FALSE(messages(receive(settled, message(StreamMessageKind::Probe, segment)), StreamMessageKind::NotHeld).front().message.isUnsettled);
    apply({TargetUnlisted{200, target(3).name}}, settled);
    EXPECT_TRUE(messages(receive(settled, message(StreamMessageKind::Probe, segment)), StreamMessageKind::NotHeld).front().message.isUnsettled);
}

// Guards against messages without a target while its entry is missing: the balancers could not attribute the load.
TEST_F(StreamAgentTest, MissingEntryKeepsTheTargetIdentifier)
{
    apply({TargetUnlisted{200, target(1).name}}, settled);
    StreamActions actions;
    m_agent.onTick(settled + 3s, actions);
    StreamMessage ping;
    ping.kind = StreamMessageKind::Ping;
    ping.sender = balancer;
    const StreamActions answered = receive(settled + 3s, ping);
    ASSERT_EQ(messages(answered, StreamMessageKind::Load).size(), 1);
    EXPECT_EQ(messages(answered, StreamMessageKind::Load).front().message.target, target(1).id);
}

// Guards against callers that wait for lookups at targets that cannot hold their flows: a target that was not running
// when its agent started holds no older flow.
TEST_F(StreamAgentTest, TargetsThatStartAfterTheirAgentAreNotProbed)
{
    StreamAgent agent(settings(), m_format, settled);
    StreamActions actions;
    agent.onTick(settled, actions);
    EXPECT_TRUE(probesTarget(actions));
    agent.onTargetProbed(settled, false, actions);
    agent.onTargetProbed(settled + 200ms, true, actions);
    for (const DirectoryChange &change : reading({target(1), target(2), target(3)})) {
        agent.onDirectoryChange(settled + 200ms, change, actions);
    }
    actions.clear();
    agent.onMessage(settled + 300ms, message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100)), actions);
    EXPECT_TRUE(segments<SendToStreamTarget>(actions).empty());
    EXPECT_EQ(messages(actions, StreamMessageKind::NotHeld).size(), 1);
}

// Load: after a power loss, hundreds of flows that no target holds are looked up at once. Guards against agents that
// have no time left for openings. A lookup that was skipped starts with the caller's next copy.
TEST_F(StreamAgentTest, LookupsKeepToTheirBudget)
{
    const auto countProbes = [this](TimePoint now, int first, int count) {
        int probes = 0;
        for (int number = first; number < first + count; ++number) {
            const FlowKey key{{caller.address, static_cast<quint16>(1024 + number)}, route};
            probes += static_cast<int>(
                messages(receive(now, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100, key))), StreamMessageKind::Probe).size());
        }
        return probes;
    };
    const StreamAgentSettings defaults;
    EXPECT_LE(countProbes(settled, 0, 400), defaults.lookupProbeBurst + 2);
    EXPECT_EQ(countProbes(settled, 400, 1), 0);
    EXPECT_EQ(countProbes(settled + 100ms, 400, 1), 2);
}

// Guards against a restarted agent that considers its target busy or failing, since it has not seen answers from before
// its start.
TEST_F(StreamAgentTest, FlowsFromBeforeTheStartAreNoFailures)
{
    fromTarget(settled, targetSegment(AckFlag, 1501, 100));
    receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1601, 100)));
    EXPECT_EQ(m_agent.load(settled).requestsInProgress, 1);
    fromTarget(settled + 1ms, targetSegment(FinFlag | AckFlag, 1601));
    EXPECT_EQ(m_agent.load(settled + 1ms).requestsInProgress, 0);
    EXPECT_EQ(m_agent.load(settled + 1ms).failurePermille, 0);
}

// Load: after a restart of the whole system, more requests arrive than a target can process. Guards against a target
// that is counted as failing because its requests wait.
TEST_F(StreamAgentTest, RequestsThatWaitInABusyTargetAreNoFailures)
{
    constexpr int requests = 8;
    for (int number = 0; number < requests; ++number) {
        const FlowKey key{{caller.address, static_cast<quint16>(1024 + number)}, route};
        receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag, 1, 0, 0, key)));
        fromTarget(settled, targetSegment(SynFlag | AckFlag, 1000, 0, key));
        receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100, key)));
    }
    StreamActions actions;
    m_agent.onTick(settled + 1s, actions);
    // Only requests that had a slot to themselves and were not answered count.
    EXPECT_LE(m_agent.load(settled + 1s).failurePermille, 200);
}

// Guards against resets of flows that other targets hold: lookups pass their packets to the target of an agent that was
// restarted shortly before, and the target ends without returning them.
TEST_F(StreamAgentTest, EndOfTheTargetResetsNoFlowThatItHasNotConfirmed)
{
    StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
    probe.sender = agentAddress(3);
    receive(start + 1s, probe);
    const StreamActions actions = refuseConnection(start + 1100ms);
    EXPECT_FALSE(resetsCaller(actions));
    EXPECT_TRUE(messages(actions, StreamMessageKind::Ended).empty());
    const auto denials = messages(actions, StreamMessageKind::NotHeld);
    ASSERT_EQ(denials.size(), 1);
    EXPECT_EQ(denials.front().to, agentAddress(3));
    EXPECT_EQ(denials.front().message.target, target(1).id);
}

// Guards against a reset of a flow that another target holds, and against a caller that waits in vain: a balancer that
// takes the ended target for the holder of the flow starts a lookup.
TEST_F(StreamAgentTest, EndOfTheTargetStartsALookupOfDeliveredFlows)
{
    receive(start + 3s, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    const StreamActions actions = refuseConnection(start + 3100ms);
    EXPECT_FALSE(resetsCaller(actions));
    EXPECT_EQ(messages(actions, StreamMessageKind::Probe).size(), 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(start + 3101ms, 2)));
    EXPECT_TRUE(resetsCaller(reportNotHeld(start + 3102ms, 3))) << "every target has denied the flow";
}

// Guards against a reset before the other targets have been asked, and against a lookup that never ends because its own
// target has ended.
TEST_F(StreamAgentTest, EndOfTheTargetDeniesTheFlowsOfOwnLookups)
{
    receive(start + 3s, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    EXPECT_FALSE(resetsCaller(reportNotHeld(start + 3001ms, 2)));
    EXPECT_FALSE(resetsCaller(refuseConnection(start + 3100ms)));
    EXPECT_TRUE(resetsCaller(reportNotHeld(start + 3101ms, 3)));
}

// Guards against a reset of a flow whose target lives without an entry: an agent that has started lately does not know it.
TEST_F(StreamAgentTest, RestartedAgentEndsNoLookupBeforeUnlistedTargetsAreAnnounced)
{
    const StreamMessage located = message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100));
    bounce(start + 1s, receive(start + 1s, located));
    reportNotHeld(start + 1001ms, 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(start + 1002ms, 3)));
    receive(start + 1100ms, announcement(StreamMessageKind::UnlistedTarget, 4));
    const StreamActions later = receive(start + 2100ms, located);
    EXPECT_FALSE(resetsCaller(later));
    const auto probes = messages(later, StreamMessageKind::Probe);
    ASSERT_EQ(probes.size(), 1);
    EXPECT_EQ(probes.front().to, agentAddress(4));
    m_agent.onTick(start + 2200ms, m_ignored);
    EXPECT_FALSE(resetsCaller(m_ignored)) << "the agent of the unlisted target may be restarted as well";
}

// Load: thousands of flows after a loss of power, while machines are removed whose targets have ended. Guards against callers that
// wait in vain for an agent that has told of the end of its target and is gone, and against a reset while a target that was
// announced again after such a report may hold the flow.
TEST_F(StreamAgentTest, AgentsOfEndedTargetsAreNotWaitedFor)
{
    const StreamMessage located = message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100));
    receive(settled, announcement(StreamMessageKind::UnlistedTarget, 4));
    receive(settled, located);
    reportNotHeld(settled + 1ms, 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 2ms, 3)));
    EXPECT_TRUE(resetsCaller(receive(settled + 10ms, announcement(StreamMessageKind::TargetEnded, 4))));

    receive(settled + 1s, announcement(StreamMessageKind::UnlistedTarget, 4));
    const StreamActions again = receive(settled + 2s, located);
    EXPECT_EQ(messages(again, StreamMessageKind::Probe).size(), 3);
    reportNotHeld(settled + 2001ms, 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 2002ms, 3)));
}

// Guards against a report of an end that takes the flows of the target that is listed at the address now.
TEST_F(StreamAgentTest, ReportedEndOfAnEarlierTargetBreaksNoFlow)
{
    receive(settled, announcement(StreamMessageKind::TargetEnded, 3));
    const StreamActions actions = receive(settled + 1s, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    EXPECT_EQ(messages(actions, StreamMessageKind::Probe).size(), 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 1001ms, 2)));
}

// Guards against peers that wait for an agent whose target has ended: it tells so at once if the target is not listed, and when it is
// stopped afterwards, since nobody answers for the target then.
TEST_F(StreamAgentTest, EndOfTheTargetIsAnnounced)
{
    apply({TargetUnlisted{200, target(1).name}}, settled);
    StreamActions actions;
    m_agent.onTick(settled, actions);
    EXPECT_EQ(messages(actions, StreamMessageKind::UnlistedTarget).size(), 2);
    refuseConnection(settled + 100ms);
    actions.clear();
    m_agent.onTick(settled + 101ms, actions);
    ASSERT_EQ(messages(actions, StreamMessageKind::TargetEnded).size(), 2);
    EXPECT_EQ(messages(actions, StreamMessageKind::TargetEnded).front().message.targetAddress, targetAddress(1));
    EXPECT_TRUE(messages(actions, StreamMessageKind::UnlistedTarget).empty());
    actions.clear();
    m_agent.beginStop(settled + 200ms, actions);
    m_agent.onTargetProbed(settled + 210ms, false, actions);
    EXPECT_EQ(messages(actions, StreamMessageKind::TargetEnded).size(), 2);
    EXPECT_TRUE(m_agent.isStopped(settled + 210ms));
}

// Guards against a caller that waits in vain although its target is gone, because the agent that looks it up was restarted
// lately: an agent that knows all targets goes on.
TEST_F(StreamAgentTest, RestartedAgentHandsLookupsOverToAnInformedOne)
{
    const StreamMessage located = message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100));
    bounce(start + 1s, receive(start + 1s, located));
    reportNotHeld(start + 1001ms, 2);
    StreamMessage denial = denialOf(3);
    denial.knowsAllTargets = true;
    const StreamActions actions = receive(start + 1002ms, denial);
    EXPECT_FALSE(resetsCaller(actions));
    const auto handedOver = messages(actions, StreamMessageKind::Locate);
    ASSERT_EQ(handedOver.size(), 1);
    EXPECT_EQ(handedOver.front().to, agentAddress(3));
    EXPECT_EQ(handedOver.front().message.balancer, balancer);
    EXPECT_EQ(handedOver.front().message.packet, located.packet);
}

// Guards against agents that count as informed while targets may live that they do not know.
TEST_F(StreamAgentTest, DenialsTellWhetherTheAgentKnowsAllTargets)
{
    const auto knowsAllTargets = [this](TimePoint now) {
        open(now);
        StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 7'000'002, 9'000'001, 100));
        probe.sender = agentAddress(3);
        return messages(receive(now, probe), StreamMessageKind::NotHeld).front().message.knowsAllTargets;
    };
    EXPECT_FALSE(knowsAllTargets(start + 1s));
    EXPECT_TRUE(knowsAllTargets(settled));
    apply({TargetUnlisted{200, target(1).name}}, settled);
    EXPECT_FALSE(knowsAllTargets(settled + 1s));
}

// Guards against a reset of a flow that a skipped version has opened, by a lookup that was under way when the agent read the next one.
TEST_F(StreamAgentTest, VersionsThatAreSkippedDuringALookupEndItWithoutAReset)
{
    const StreamMessage located = message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100));
    receive(settled, located);
    reportNotHeld(settled + 1ms, 2);
    apply({RoutesPublished{200, routesTo(3, {{service, 1}})}}, settled + 2ms);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 3ms, 3)));
    // The same for a former service that a peer tells of.
    receive(settled + 1s, routeHistoryOf(2, 3, {}));
    receive(settled + 2s, located);
    reportNotHeld(settled + 2001ms, 2);
    receive(settled + 2002ms, routeHistoryOf(2, 3, {{route, otherService, 5000}}));
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 2003ms, 3)));
    receive(settled + 3s, located);
    reportNotHeld(settled + 3001ms, 2);
    EXPECT_TRUE(resetsCaller(reportNotHeld(settled + 3002ms, 3)));
}

// Guards against a denial by an agent that has not asked its target, taken for one of the target once the former services are known: the
// service of the target may be one of them.
TEST_F(StreamAgentTest, UncertainDenialOfAFormerServiceStaysUncertain)
{
    StreamTarget other = target(4);
    other.service = otherService;
    apply({TargetListed{150, other}, RoutesPublished{200, routesTo(3, {{service, 1}})}}, settled);
    const StreamMessage located = message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100));
    const auto denyByAll = [this](TimePoint now) {
        for (const int index : {2, 3}) {
            reportNotHeld(now, index);
        }
        StreamMessage denial = denialOf(4);
        denial.service = otherService;
        denial.isUncertain = true;
        return receive(now, denial);
    };
    EXPECT_EQ(messages(receive(settled + 1s, located), StreamMessageKind::Probe).size(), 3) << "the agents of all services are asked";
    receive(settled + 1001ms, routeHistoryOf(2, 3, {{route, otherService, 5000}}));
    EXPECT_FALSE(resetsCaller(denyByAll(settled + 1002ms)));
    EXPECT_EQ(messages(receive(settled + 2s, located), StreamMessageKind::Probe).size(), 1) << "the target is asked now";
    // A service that the route has not used holds no flow of it.
    apply({RoutesPublished{201, routesTo(5, {{service, 1}})}}, settled + 10s);
    receive(settled + 10s, located);
    receive(settled + 10001ms, routeHistoryOf(2, 5, {}));
    EXPECT_TRUE(resetsCaller(denyByAll(settled + 10002ms)));
}

// Guards against a caller that waits in vain although its target is gone, because every agent was restarted lately.
TEST_F(StreamAgentTest, RestartedAgentEndsLookupsOnceUnlistedTargetsAreKnown)
{
    const StreamMessage located = message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100));
    bounce(start + 1s, receive(start + 1s, located));
    reportNotHeld(start + 1001ms, 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(start + 1002ms, 3)));
    EXPECT_TRUE(resetsCaller(receive(start + 2100ms, located)));
}

// Guards against a reset by an agent without an entry, to which the agents of other unlisted targets may announce nothing.
TEST_F(StreamAgentTest, AgentOfAnUnlistedTargetEndsNoLookup)
{
    apply({TargetUnlisted{200, target(1).name}}, settled);
    receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 1ms, 2)));
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 2ms, 3)));
}

// Guards against lookups that wait for a target which had ended before they asked, and against one that is denied while
// the target may still answer.
TEST_F(StreamAgentTest, FlowsOfferedToAnEndedTargetAreDeniedAfterItsSilence)
{
    EXPECT_TRUE(messages(refuseConnection(start + 900ms), StreamMessageKind::NotHeld).empty());
    StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
    probe.sender = agentAddress(3);
    receive(start + 1s, probe);
    EXPECT_TRUE(messages(refuseConnection(start + 1001ms), StreamMessageKind::NotHeld).empty());
    const StreamActions actions = refuseConnection(start + 1101ms);
    EXPECT_FALSE(resetsCaller(actions));
    EXPECT_EQ(messages(actions, StreamMessageKind::NotHeld).size(), 1);
    EXPECT_TRUE(messages(refuseConnection(start + 1201ms), StreamMessageKind::NotHeld).empty()) << "it has been denied";
}

// Guards against resets at the second of two ends in a row.
TEST_F(StreamAgentTest, EachEndOfTheTargetResetsConfirmedFlowsOnly)
{
    for (const Duration time : {1s, 2s}) {
        open(start + time);
        receive(start + time, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
        StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 7001, 100, {{caller.address, 50}, route}));
        probe.sender = agentAddress(3);
        receive(start + time, probe);
        const std::vector<Segment> resets = segments<SendToStreamCaller>(refuseConnection(start + time + 100ms));
        ASSERT_EQ(resets.size(), 1);
        EXPECT_EQ(resets.front().flowFromTarget(), flow);
        m_agent.onTargetProbed(start + time + 200ms, true, m_ignored);
    }
}

// Guards against a reset of a flow that another target holds: so many packets are passed to the target at once that the
// record of the first ones is overwritten before they are returned.
TEST_F(StreamAgentTest, LateBounceResetsNoFlowThatTheTargetHasNotConfirmed)
{
    const auto probeFor = [](quint16 port) {
        StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100, {{caller.address, port}, route}));
        probe.sender = agentAddress(3);
        return probe;
    };
    const StreamActions first = receive(start + 1s, probeFor(1));
    for (quint16 port = 2; port <= 600; ++port) {
        receive(start + 1s, probeFor(port));
    }
    const StreamActions actions = bounce(start + 1002ms, first);
    EXPECT_FALSE(resetsCaller(actions));
    EXPECT_TRUE(messages(actions, StreamMessageKind::Ended).empty());
    // The target has denied the flow, so that a lookup need not wait for it.
    const auto denials = messages(actions, StreamMessageKind::NotHeld);
    ASSERT_EQ(denials.size(), 1);
    EXPECT_EQ(denials.front().to, agentAddress(3));
    EXPECT_EQ(denials.front().message.flow, (FlowKey{{caller.address, 1}, route}));
}

// Guards against resets of openings that another target could accept, or has accepted already, because the target that
// they were sent to ends before it answers.
TEST_F(StreamAgentTest, UnansweredOpeningOfAnEndedTargetGoesToTheNextCandidate)
{
    receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag), {target(2).id, target(3).id}));
    const StreamActions actions = refuseConnection(settled + 100ms);
    EXPECT_FALSE(resetsCaller(actions));
    EXPECT_TRUE(messages(actions, StreamMessageKind::Ended).empty());
    const auto next = messages(actions, StreamMessageKind::Opening);
    ASSERT_EQ(next.size(), 1);
    EXPECT_EQ(next.front().to, agentAddress(2));
    EXPECT_EQ(next.front().message.candidates, std::vector{target(3).id});
    EXPECT_EQ(m_agent.load(settled + 100ms).flows, 0);
}

// Guards against callers that wait for the rest of their opening time although no other target is left.
TEST_F(StreamAgentTest, UnansweredOpeningOfAnEndedTargetIsResetWithoutCandidates)
{
    receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag)));
    const StreamActions actions = refuseConnection(settled + 100ms);
    EXPECT_TRUE(resetsCaller(actions));
    EXPECT_EQ(messages(actions, StreamMessageKind::Ended).size(), 1);
}

// Guards against a reset with a sequence number that the caller rejects, or that ends its flow at another target: an
// answered flow is reset with the next sequence number of its own target.
TEST_F(StreamAgentTest, AnsweredFlowOfAnEndedTargetIsResetInItsOwnSequence)
{
    receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag)));
    fromTarget(settled, targetSegment(SynFlag | AckFlag, 5'000'000));
    const FlowKey unanswered{{caller.address, 50}, route};
    receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag, 1, 0, 0, unanswered), {target(2).id}));
    const std::vector<Segment> resets = segments<SendToStreamCaller>(refuseConnection(settled + 100ms));
    ASSERT_EQ(resets.size(), 1);
    EXPECT_EQ(resets.front().sequence, 5'000'001);
}

// Guards against a reset of a flow after the idle timeout under which its latest packet passed, although a configuration
// has raised the timeout since.
TEST_F(StreamAgentTest, RaisedIdleTimeoutAppliesToIdleFlows)
{
    setIdleTimeout(settled, 2, 8s);
    open(settled);
    tickUntil(settled, settled + 2s);
    setIdleTimeout(settled + 2s, 3, 30s);
    tickUntil(settled + 2s, settled + 29s);
    EXPECT_TRUE(reachesTarget(settled + 29s));
}

// Guards against a reset of a flow that was removed under a shorter idle timeout: the target may still hold it.
TEST_F(StreamAgentTest, FlowsRemovedUnderAShorterIdleTimeoutAreLeftToTheTarget)
{
    open(settled);
    setIdleTimeout(settled + 1s, 2, 1s);
    tickUntil(settled, settled + 25s);
    EXPECT_EQ(m_agent.load(settled + 25s).flows, 0);
    EXPECT_FALSE(reachesTarget(settled + 25s, StreamMessageKind::Probe)) << "nothing can be in use under the shorter timeout";
    setIdleTimeout(settled + 25s, 3, 60s);
    EXPECT_TRUE(reachesTarget(settled + 26s, StreamMessageKind::Probe));
}

// Guards against the same after several changes in a row while the flow is idle.
TEST_F(StreamAgentTest, LatestOfSeveralIdleTimeoutsApplies)
{
    open(settled);
    quint64 version = 2;
    for (const Duration timeout : {1s, 8s, 2s, 20s, 3s, 60s}) {
        setIdleTimeout(settled + version * 1s, version, timeout);
        ++version;
    }
    tickUntil(settled, settled + 55s);
    EXPECT_TRUE(reachesTarget(settled + 55s));
}

// Guards against a reset in the time that a raised idle timeout takes to reach this process.
TEST_F(StreamAgentTest, FlowsAreKeptUntilARaisedIdleTimeoutIsKnown)
{
    setIdleTimeout(settled, 2, 8s);
    open(settled);
    tickUntil(settled, settled + 12s);
    EXPECT_TRUE(reachesTarget(settled + 12s));
}

// Guards against resets of flows that pause over a restart of their agent: for as long as the idle timeout, the target may
// hold flows of which the agent has seen nothing.
TEST_F(StreamAgentTest, RestartedAgentAsksItsTargetForTheIdleTimeout)
{
    setIdleTimeout(start, 2, 30s);
    EXPECT_TRUE(reachesTarget(start + 29s, StreamMessageKind::Probe, 1));
    EXPECT_TRUE(reachesTarget(start + 29s, StreamMessageKind::Deliver, 2));
    EXPECT_FALSE(reachesTarget(start + 40s, StreamMessageKind::Probe, 3)) << "the flow has been idle for too long";
}

// Guards against a denial by an agent that has an older configuration than its peers: the later one may have raised the idle timeout.
TEST_F(StreamAgentTest, AgentWithAnOlderConfigurationAsksItsTarget)
{
    StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
    probe.configurationVersion = 2;
    EXPECT_EQ(segments<SendToStreamTarget>(receive(settled, probe)).size(), 1);
    setIdleTimeout(settled + 1s, 2, 15s);
    EXPECT_FALSE(reachesTarget(settled + 2s, StreamMessageKind::Probe, 50));
}

// Guards against the same if the timeout is raised once the agent has run for the earlier one.
TEST_F(StreamAgentTest, RaisedIdleTimeoutAppliesToFlowsFromBeforeTheStart)
{
    EXPECT_FALSE(reachesTarget(settled, StreamMessageKind::Probe));
    setIdleTimeout(settled + 1s, 2, 60s);
    EXPECT_TRUE(reachesTarget(settled + 2s, StreamMessageKind::Probe));
    setIdleTimeout(settled + 3s, 3, 15s);
    EXPECT_FALSE(reachesTarget(settled + 4s, StreamMessageKind::Probe, 50));
}

// Load: after a loss of power all callers send on flows that have ended. Guards against agents that ask their targets about each
// of them, although both have just started, and against a reset after a planned restart of the agent while the time of day is set
// back: the target seems to have started after it.
TEST_F(StreamAgentTest, TargetThatHasStartedWithItsAgentHoldsNoEarlierFlow)
{
    StreamAgentSettings common = settings();
    common.startTime = std::chrono::sys_time<std::chrono::milliseconds>(100s);
    for (const auto &[startedBefore, isAsked] :
         {std::pair{-1000ms, true}, std::pair{-250ms, true}, std::pair{-150ms, false}, std::pair{150ms, false}, std::pair{250ms, true}}) {
        StreamAgent agent(common, m_format, start);
        StreamTarget own = target(1);
        own.startTime = common.startTime - startedBefore;
        StreamActions actions;
        for (const DirectoryChange &change : reading({own, target(2)})) {
            agent.onDirectoryChange(start, change, actions);
        }
        agent.onMessage(start + 10ms, message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100)), actions);
        EXPECT_EQ(segments<SendToStreamTarget>(actions).size(), isAsked ? 1 : 0);
        EXPECT_EQ(messages(actions, StreamMessageKind::NotHeld).size(), isAsked ? 0 : 1);
    }
}

// Load: the same. Guards against a second probe to the agent of each target that has started again at its address under another
// name, while the entry of the earlier one has not expired.
TEST_F(StreamAgentTest, AgentsAreAskedOnceForAnAddress)
{
    apply({TargetListed{201, target(2, 2)}, TargetListed{202, target(3, 2)}});
    const StreamActions actions = receive(settled, message(StreamMessageKind::Locate, callerSegment(AckFlag, 2, 1001, 100)));
    std::vector<Endpoint> asked;
    for (const SendStreamMessage &probe : messages(actions, StreamMessageKind::Probe)) {
        asked.push_back(probe.to);
    }
    std::ranges::sort(asked);
    EXPECT_EQ(asked, (std::vector{agentAddress(2), agentAddress(3)}));
}

// Guards against a packet that reaches a target of a service which its route has never used, and against a reset while nobody knows
// whether the route has used it: after all processes have failed, its agent has no record of the flows of its target.
TEST_F(StreamAgentTest, AgentOfAnUnknownServiceIsUncertain)
{
    StreamMessage probe = message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100));
    probe.isServiceAllowed = false;
    apply({RoutesPublished{201, routesTo(2, {{otherService, 1}})}});
    StreamAgent restarted(settings(), m_format, settled);
    StreamActions actions;
    for (const DirectoryChange &change : reading({target(1), target(2)})) {
        const bool isRoutes = std::holds_alternative<RoutesPublished>(change);
        restarted.onDirectoryChange(settled, isRoutes ? RoutesPublished{1, routesTo(2, {{otherService, 1}})} : change, actions);
    }
    restarted.onMessage(settled, probe, actions);
    EXPECT_TRUE(segments<SendToStreamTarget>(actions).empty());
    ASSERT_EQ(messages(actions, StreamMessageKind::NotHeld).size(), 1);
    EXPECT_TRUE(messages(actions, StreamMessageKind::NotHeld).front().message.isUncertain);
    probe.isServiceAllowed = true;
    actions.clear();
    restarted.onMessage(settled, probe, actions);
    EXPECT_EQ(segments<SendToStreamTarget>(actions).size(), 1);
}

// Guards against a relayed packet that reaches the target beside the relay, or is looked up there.
TEST_F(StreamAgentTest, RelayedPacketsGoToTheAgentOfTheirTarget)
{
    StreamMessage relayed = message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100));
    relayed.target = target(2).id;
    const StreamActions actions = receive(start + 1s, relayed);
    ASSERT_EQ(messages(actions, StreamMessageKind::Deliver).size(), 1);
    EXPECT_EQ(messages(actions, StreamMessageKind::Deliver).front().to, agentAddress(2));
    EXPECT_TRUE(segments<SendToStreamTarget>(actions).empty());
    EXPECT_TRUE(messages(actions, StreamMessageKind::Probe).empty());
}

// Guards against denials by an agent that does not know yet which idle timeout is in force.
TEST_F(StreamAgentTest, AgentWithoutConfigurationAsksItsTarget)
{
    StreamAgent agent(settings(), m_format, start);
    StreamActions actions;
    agent.onMessage(start + 100s, message(StreamMessageKind::Probe, callerSegment(AckFlag, 2, 1001, 100)), actions);
    EXPECT_EQ(segments<SendToStreamTarget>(actions).size(), 1);
    EXPECT_TRUE(messages(actions, StreamMessageKind::NotHeld).empty());
}

// Guards against resets of flows from before the start by an agent whose target has closed its port but still serves them.
TEST_F(StreamAgentTest, PacketsAfterARefusedConnectionDoNotEndTheAdoption)
{
    refuseConnection(start + 100ms);
    EXPECT_TRUE(reachesTarget(start + 1s, StreamMessageKind::Deliver, 1));
    fromTarget(start + 1020ms, targetSegment(AckFlag, 1001, 500, {{caller.address, 1}, route}));
    EXPECT_TRUE(reachesTarget(start + 5s, StreamMessageKind::Probe, 2));
    EXPECT_FALSE(resetsCaller(refuseConnection(start + 5001ms))) << "the target has just sent packets";
    m_agent.onTargetProbed(start + 6s, true, m_ignored);
    EXPECT_FALSE(reachesTarget(start + 7s, StreamMessageKind::Probe, 3)) << "another process has started";
}

// Guards against resets of flows that the target serves with a closed port: its packets arrive while the connection probe
// at the start of its agent is pending.
TEST_F(StreamAgentTest, RefusedConnectionOfAnActiveTargetBreaksNoFlow)
{
    StreamAgent agent(settings(), m_format, start);
    StreamActions actions;
    agent.onTick(start, actions);
    ASSERT_TRUE(probesTarget(actions));
    actions.clear();
    agent.onPacket(start + 10ms, PlainFormat::encode(targetSegment(AckFlag, 1501, 100)), actions);
    agent.onTargetProbed(start + 60ms, false, actions);
    EXPECT_FALSE(resetsCaller(actions));
    EXPECT_EQ(agent.load(start + 60ms).flows, 1);
    // It has ended once it does not react any more, and its entry does not tell that it leaves.
    for (const DirectoryChange &change : reading({target(1), target(2), target(3)})) {
        agent.onDirectoryChange(start + 65ms, change, actions);
    }
    agent.onMessage(start + 70ms, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1601, 100)), actions);
    agent.onTargetProbed(start + 100ms, false, actions);
    EXPECT_FALSE(resetsCaller(actions));
    agent.onTargetProbed(start + 200ms, false, actions);
    EXPECT_TRUE(resetsCaller(actions));
}

// Guards against flows whose packets reach the wrong target only: a restarted agent that may not send further probes passes
// them to its own target (review/2).
TEST_F(StreamAgentTest, PacketsThatWaitForTheirLookupReachNoTarget)
{
    const TimePoint now = start + 1s;
    constexpr int others = 200;
    for (int number = 0; number < others; ++number) {
        receive(now, locate(static_cast<quint16>(1024 + number)));
    }
    const StreamActions waiting = receive(now, locate(caller.port));
    EXPECT_TRUE(segments<SendToStreamTarget>(waiting).empty());
    EXPECT_TRUE(messages(waiting, StreamMessageKind::Probe).empty());
    EXPECT_EQ(messages(waiting, StreamMessageKind::NotHeld).size(), 1) << "the balancer need not ask elsewhere";
    EXPECT_LE(m_agent.nextDeadline(), now + 10ms) << "the budget grows";
    // The agents answer for one of the other flows.
    StreamActions begun;
    for (const int index : {2, 3}) {
        StreamMessage denial;
        denial.kind = StreamMessageKind::NotHeld;
        denial.sender = agentAddress(index);
        denial.target = target(index).id;
        denial.flow = {{caller.address, 1024}, route};
        m_agent.onMessage(now + 200ms, denial, begun);
    }
    EXPECT_GE(probesOf(begun, caller.port), 2) << "without a further packet of the caller";
    EXPECT_GE(deliveriesOf(begun, caller.port), 1);
}

// Guards against flows whose packets reach other targets again and again while the agent of their own does not answer, and
// against retransmissions that cost a whole search each.
TEST_F(StreamAgentTest, RetransmissionsGoToTargetsThatHaveNotDeniedTheFlow)
{
    const StreamActions first = receive(start + 1s, locate(caller.port));
    EXPECT_EQ(probesOf(first, caller.port), 2);
    bounce(start + 1s, first);
    reportNotHeld(start + 1002ms, 2);
    for (const Duration repeat : {200ms, 600ms, 1400ms, 3000ms}) {
        const StreamActions repeated = receive(start + 1s + repeat, locate(caller.port));
        EXPECT_EQ(probesOf(repeated, caller.port), 1);
        EXPECT_EQ(messages(repeated, StreamMessageKind::Probe).front().to, agentAddress(3));
        EXPECT_EQ(deliveriesOf(repeated, caller.port), 0);
        m_agent.onTick(start + 1s + repeat + 100ms, m_ignored);
    }
}

// Guards against a lookup that never asks a target which was listed after its first packet.
TEST_F(StreamAgentTest, RetransmissionsGoToTargetsThatAreListedLater)
{
    receive(settled, locate(caller.port));
    reportNotHeld(settled, 2);
    apply({TargetListed{200, target(4)}}, settled + 100ms);
    EXPECT_EQ(messages(receive(settled + 200ms, locate(caller.port)), StreamMessageKind::Probe).size(), 2);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 201ms, 3)));
    EXPECT_TRUE(resetsCaller(reportNotHeld(settled + 202ms, 4)));
}

// Guards against flows that are found late because the probes to silent agents use up the budget.
TEST_F(StreamAgentTest, SilentAgentsAreProbedAtALowRate)
{
    constexpr int flows = 20;
    int probes = 0;
    for (int round = 0; round < 2; ++round) {
        for (int number = 0; number < flows; ++number) {
            const StreamActions actions = receive(settled + round * 200ms, locate(static_cast<quint16>(1024 + number)));
            probes += round == 0 ? 0 : static_cast<int>(messages(actions, StreamMessageKind::Probe).size());
        }
    }
    EXPECT_EQ(probes, 2) << "one to each agent";
}

// Guards against a reset of a flow at an unlisted target whose agent was restarted: it has left earlier probes unanswered.
TEST_F(StreamAgentTest, AgentsOfUnlistedTargetsAreAlwaysAsked)
{
    apply({TargetUnlisted{200, target(3).name}}, settled);
    m_agent.onTick(settled + 3s, m_ignored);
    for (const Duration time : {0ms, 150ms, 160ms}) {
        for (const quint16 port : {1, 2, 3}) {
            const auto probes = messages(receive(settled + 3s + time, locate(port)), StreamMessageKind::Probe);
            EXPECT_TRUE(std::ranges::any_of(probes, [](const SendStreamMessage &probe) { return probe.to == agentAddress(3); })) << port;
        }
    }
}

// Guards against flows that wait for the next copy of their packet although their agent answers again.
TEST_F(StreamAgentTest, AgentThatAnswersAgainIsAskedAboutAllWaitingFlows)
{
    for (const Duration time : {0ms, 150ms}) {
        for (const quint16 port : {1, 2, 3}) {
            receive(settled + time, locate(port));
        }
    }
    StreamMessage ping;
    ping.kind = StreamMessageKind::Ping;
    ping.sender = agentAddress(3);
    const StreamActions actions = receive(settled + 300ms, ping);
    for (const quint16 port : {1, 2, 3}) {
        EXPECT_GE(probesOf(actions, port), 1) << port;
    }
}

// Guards against callers that wait until their deadlines because an agent was once unsure, and against a reset before its
// missing entries would have been listed again.
TEST_F(StreamAgentTest, DenialsOfUnsettledAgentsCountOnceMissingEntriesAreKnown)
{
    receive(settled, locate(caller.port));
    StreamMessage denial = denialOf(2);
    denial.isUnsettled = true;
    receive(settled + 1ms, denial);
    EXPECT_FALSE(resetsCaller(reportNotHeld(settled + 2ms, 3)));
    EXPECT_FALSE(resetsCaller(receive(settled + 1s, locate(caller.port))));
    EXPECT_TRUE(resetsCaller(receive(settled + 2600ms, locate(caller.port))));
}

// Guards against packets that are passed on after their callers have given up.
TEST_F(StreamAgentTest, OutdatedPacketsAreNotPassedOn)
{
    const TimePoint now = start + 1s;
    for (int number = 0; number < 200; ++number) {
        receive(now, locate(static_cast<quint16>(1024 + number)));
    }
    receive(now, locate(caller.port));
    StreamActions late;
    m_agent.onTick(now + 1700ms, late);
    EXPECT_TRUE(messages(late, StreamMessageKind::Probe).empty());
    EXPECT_TRUE(segments<SendToStreamTarget>(late).empty());
}

// Guards against resets of flows that a draining target serves with a closed port while it is silent, and against callers
// that wait in vain once its entry has gone.
TEST_F(StreamAgentTest, RefusalOfADrainingTargetBreaksNoFlowWhileItsEntryIsThere)
{
    open(settled);
    apply({TargetListed{200, target(1, 1, true)}}, settled);
    receive(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100)));
    for (const Duration time : {100ms, 200ms, 3000ms}) {
        EXPECT_FALSE(resetsCaller(refuseConnection(settled + time)));
    }
    apply({TargetUnlisted{201, target(1).name}}, settled + 3s);
    EXPECT_TRUE(resetsCaller(refuseConnection(settled + 3100ms)));
}

// Guards against resets by an agent that is restarted beside a draining target and has not read its entry yet.
TEST_F(StreamAgentTest, RefusalBeforeTheFirstReadBreaksNoFlow)
{
    StreamAgent agent(settings(), m_format, settled);
    StreamActions actions;
    agent.onTick(settled, actions);
    agent.onPacket(settled, PlainFormat::encode(targetSegment(AckFlag, 1001, 100)), actions);
    agent.onMessage(settled, message(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1101, 100)), actions);
    for (const Duration time : {1ms, 101ms, 201ms}) {
        agent.onTick(settled + time, actions);
        agent.onTargetProbed(settled + time, false, actions);
    }
    EXPECT_FALSE(resetsCaller(actions));
    for (const DirectoryChange &change : reading({target(1, 1, true), target(2), target(3)})) {
        agent.onDirectoryChange(settled + 250ms, change, actions);
    }
    agent.onTargetProbed(settled + 301ms, false, actions);
    EXPECT_FALSE(resetsCaller(actions));
}

// Guards against openings that a restarted agent admits before it knows of drains, of data centres that are out and of cold
// targets, and against a start without the source that refuses them for long.
TEST_F(StreamAgentTest, OpeningsWaitForTheFirstRead)
{
    const auto isAdmitted = [](StreamAgent &agent, TimePoint now, quint16 port) {
        StreamActions actions;
        agent.onMessage(now, message(StreamMessageKind::Opening, callerSegment(SynFlag, 1, 0, 0, {{caller.address, port}, route}), {target(2).id}), actions);
        return !segments<SendToStreamTarget>(actions).empty();
    };
    StreamAgent agent(settings(), m_format, settled);
    EXPECT_FALSE(isAdmitted(agent, settled + 50ms, 1));
    EXPECT_TRUE(isAdmitted(agent, settled + 500ms, 2));
    StreamAgent other(settings(), m_format, settled);
    for (const DirectoryChange &change : reading({target(1), target(2)})) {
        other.onDirectoryChange(settled + 70ms, change, m_ignored);
    }
    EXPECT_TRUE(isAdmitted(other, settled + 70ms, 3));
}

// Guards against a caller that is refused because all agents of a service have just started (found by the soak, seed 8115).
TEST_F(StreamAgentTest, LastCandidateRefusesNothingBeforeTheFirstRead)
{
    StreamAgent agent(settings(), m_format, settled);
    StreamActions actions;
    agent.onMessage(settled + 50ms, message(StreamMessageKind::Opening, callerSegment(SynFlag)), actions);
    EXPECT_FALSE(resetsCaller(actions));
    EXPECT_TRUE(messages(actions, StreamMessageKind::Ended).empty());
    for (const DirectoryChange &change : reading({target(1), target(2)})) {
        agent.onDirectoryChange(settled + 70ms, change, actions);
    }
    agent.onMessage(settled + 200ms, message(StreamMessageKind::Opening, callerSegment(SynFlag)), actions);
    EXPECT_EQ(segments<SendToStreamTarget>(actions).size(), 1);
}

// Guards against a cold target that gets the openings of one second twice because its agent is killed and starts again.
TEST_F(StreamAgentTest, RestartedAgentsKeepTheLimitOfAColdTarget)
{
    StreamTarget cold = target(1);
    cold.slotCount = 50;
    cold.coldDeadline = settled + 10s;
    int admitted = 0;
    for (const Duration begin : {0ms, 300ms, 600ms}) {
        StreamAgent agent(settings(), m_format, settled + begin);
        for (const DirectoryChange &change : reading({cold, target(2)})) {
            agent.onDirectoryChange(settled + begin + 70ms, change, m_ignored);
        }
        agent.onDirectoryChange(settled + begin + 70ms, RoutesPublished{200, routes(2, {route}, 4.0)}, m_ignored);
        for (quint16 number = 0; number < 20; ++number) {
            StreamActions actions;
            const auto port = static_cast<quint16>(1024 + number);
            const Segment segment = callerSegment(SynFlag, 1, 0, 0, {{caller.address, port}, route});
            agent.onMessage(settled + begin + 70ms + number * 10ms, message(StreamMessageKind::Opening, segment, {target(2).id}), actions);
            admitted += static_cast<int>(segments<SendToStreamTarget>(actions).size());
        }
    }
    EXPECT_LE(admitted, 4) << "within 0.9 s";
}

// Guards against full load on a target that has crashed and started again while its entry still says that it is warm.
TEST_F(StreamAgentTest, TargetThatHasStartedAgainIsCold)
{
    StreamTarget warm = target(1);
    warm.slotCount = 50;
    apply({TargetListed{199, warm}, RoutesPublished{200, routes(2, {route}, 4.0)}}, settled);
    receive(settled, message(StreamMessageKind::Opening, callerSegment(SynFlag)));
    refuseConnection(settled + 100ms);
    m_agent.onTargetProbed(settled + 300ms, true, m_ignored);
    int admitted = 0;
    for (quint16 number = 0; number < 20; ++number) {
        const auto port = static_cast<quint16>(1024 + number);
        const Segment segment = callerSegment(SynFlag, 1, 0, 0, {{caller.address, port}, route});
        const StreamActions actions = receive(settled + 300ms + number * 10ms, message(StreamMessageKind::Opening, segment, {target(2).id}));
        admitted += static_cast<int>(segments<SendToStreamTarget>(actions).size());
    }
    EXPECT_LE(admitted, 4);
    EXPECT_GT(admitted, 0);
}
