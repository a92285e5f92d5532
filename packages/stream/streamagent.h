#pragma once

#include "stream/answermeter.h"
#include "stream/directorypeers.h"
#include "stream/flowlookup.h"
#include "stream/flowretention.h"
#include "stream/heldflows.h"
#include "stream/loadmeter.h"
#include "stream/openingfence.h"
#include "stream/openingqueue.h"
#include "stream/routehistoryqueries.h"
#include "stream/segmentformat.h"
#include "stream/streamaction.h"
#include "stream/streamagentsettings.h"
#include "stream/streamdecisions.h"
#include "stream/targetannouncer.h"
#include "stream/targetdirectory.h"
#include "stream/targetwatch.h"

#include <array>
#include <deque>
#include <tuple>
#include <unordered_map>

namespace Rattanpick
{

/// Makes all decisions of an agent, the process next to a target that holds byte-stream flows.
///
/// Only the target has the authoritative state of its flows: it does not hold a flow whose segments it bounces, and
/// sending packets of a flow confirms that it holds it.
class StreamAgent : public StreamDecisions
{
public:
    /// Builds an agent; its target may already hold flows. @p format must outlive the agent.
    StreamAgent(const StreamAgentSettings &settings, const SegmentFormat &format, TimePoint now);

    // StreamDecisions

    void onDirectoryChange(TimePoint now, const DirectoryChange &change, StreamActions &actions) override;
    void onSettings(const BalancingSettings &settings) override;
    void onPacket(TimePoint now, const QByteArray &packet, StreamActions &actions) override;
    void onMessage(TimePoint now, const StreamMessage &message, StreamActions &actions) override;
    void onTick(TimePoint now, StreamActions &actions) override;
    TimePoint nextDeadline() const override;
    void onTargetProbed(TimePoint now, bool isProcessAlive, StreamActions &actions) override;
    void onPause(TimePoint now) override;
    void beginStop(TimePoint now, StreamActions &actions) override;
    void onWithdrawn(TimePoint now) override;
    bool isStopped(TimePoint now) const override;
    void onNewPosition(TimePoint now, StreamActions &actions) override;
    void onStaleDirectory(TimePoint now, StreamActions &actions) override;
    bool isReader() override
    {
        return m_peers.isReader();
    }
    bool isIsolated() const override
    {
        return m_peers.isIsolated();
    }
    bool isReady() const override;

    // Target and state

    /// Targets and routes.
    const TargetDirectory &directory() const
    {
        return m_directory;
    }

    /// The load as reported to balancers.
    LoadReport load(TimePoint now) const;

private:
    /// The message behind a packet that was sent to the target, in case the target bounces the packet.
    struct Delivery
    {
        quint32 tag = 0;
        StreamMessage message;
        FlowKey flow;
    };

    /// Which candidate of a message is tried next: the best one, or the one that was offered the opening last.
    enum class CandidateOrder : quint8 {
        BestFirst,
        LatestFirst,
    };

    static constexpr std::size_t deliveryCount = 512;

    // Messages
    void onOpening(TimePoint now, const StreamMessage &message, const Segment &segment, StreamActions &actions);
    void onDeliver(TimePoint now, const StreamMessage &message, const Segment &segment, StreamActions &actions);
    void onProbe(TimePoint now, const StreamMessage &message, const Segment &segment, StreamActions &actions);
    void onLocate(TimePoint now, const StreamMessage &message, const Segment &segment, StreamActions &actions);

    // Target process
    void onTargetLost(TimePoint now, StreamActions &actions);
    /// Denies the flows that an ended target has not confirmed.
    void denyUnconfirmedFlows(TimePoint now, StreamActions &actions);
    void denyUnconfirmed(TimePoint now, const FlowKey &key, const HeldFlow &flow, const QString &reason, StreamActions &actions);
    void reportLoad(TimePoint now, StreamActions &actions);
    /// The directory names the local target, or names it anew.
    void onOwnTargetListed(const StreamTarget &target);
    /// Announces the local target, or its end, while the directory does not list it.
    void announceTarget(TimePoint now, StreamActions &actions);
    void sendAnnouncement(TimePoint now, const std::vector<Endpoint> &receivers, StreamActions &actions);
    void onPeerTargetEnded(TimePoint now, const StreamMessage &message, StreamActions &actions);
    void answerHistoryQuery(TimePoint now, const Endpoint &peer, StreamActions &actions);

    // Packets of the target
    void onBounced(TimePoint now, const Segment &segment, StreamActions &actions);
    /// The target does not hold the flow of the packet that was sent to it under the tag: removes the flow, and answers or
    /// passes on the message that brought the packet. Returns false if the record of the message was overwritten.
    bool denyDelivery(TimePoint now, const FlowKey &key, quint32 tag, const QString &reason, StreamActions &actions);
    void onAnswer(TimePoint now, const FlowKey &key, HeldFlow &flow, const Segment &segment, StreamActions &actions);

    // Queued openings
    bool hasRoom() const;
    /// Whether another target may have a free slot for the opening.
    bool shouldHunt(const StreamMessage &message) const;
    void hunt(const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    Duration expectedWait(int priority) const;
    /// Expected wait for a slot behind @p ahead queued openings.
    Duration waitBehind(std::size_t ahead) const;
    /// Time that a slot is occupied by a request.
    Duration serviceTime() const;
    /// What the order of the queue depends on now.
    OpeningOrder::Conditions orderConditions(TimePoint now) const;
    void enqueueOpening(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    /// Adds the opening if it can be answered before its answerDeadline, and passes it on at once otherwise.
    void enqueueByObjective(TimePoint now, const OpeningQueue::Entry &entry, StreamActions &actions);
    /// Passes on the queued openings that cannot be answered before their callers stop waiting.
    void passOnHopeless(TimePoint now, StreamActions &actions);
    void releaseQueued(TimePoint now, StreamActions &actions);
    void acceptOpening(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    void endRequestAwait(HeldFlow &flow);
    void endUnansweredRequest(TimePoint now, HeldFlow &flow);
    void expireUnansweredRequests(TimePoint now);

    // Helpers
    /// The target's entry; null if there is none or if it is the local target.
    const TargetDirectory::Entry *findOther(TargetId target) const;
    /// Addresses the message to its next candidate that has an entry; null if none is left.
    const TargetDirectory::Entry *popCandidate(StreamMessage &message, CandidateOrder order) const;
    /// Passes a packet on whose target is another one; returns whether it is.
    bool relay(const StreamMessage &message, StreamActions &actions) const;
    void redirectOpening(const StreamMessage &message, const FlowKey &key, StreamActions &actions);
    void forwardOpening(const StreamMessage &message, const FlowKey &key, const QString &reason, StreamActions &actions);
    void deliver(TimePoint now, const FlowKey &key, HeldFlow &flow, const StreamMessage &message, const Segment &segment, StreamActions &actions);
    HeldFlow &deliverUnconfirmed(TimePoint now, const FlowKey &key, const StreamMessage &message, const Segment &segment, StreamActions &actions);
    /// Sends a packet that the target returns if it does not hold the flow.
    void sendToTarget(TimePoint now, const FlowKey &key, HeldFlow &flow, const StreamMessage &message, StreamActions &actions);
    void denyFlow(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    /// @p isUncertain: the target has not been asked.
    void denyProbe(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions, bool isUncertain = false) const;
    void startLookup(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    /// Begins the rounds of lookups that are due.
    void runLookups(TimePoint now, StreamActions &actions);
    /// Ends a lookup if its outcome is known: with a reset, or at an agent that knows more targets.
    void finishLookup(TimePoint now, const FlowKey &key, FlowLookup::Outcome outcome, StreamActions &actions);
    void resetAfterLookup(TimePoint now, const FlowKey &key, StreamActions &actions);
    void trackCallerSegment(TimePoint now, HeldFlow &flow, const StreamMessage &message, const Segment &segment);
    void terminateFlow(TimePoint now, const FlowKey &key, HeldFlow &flow, const QString &reason, StreamActions &actions);
    /// Whether the target holds no flow in use that this process has no record of.
    bool knowsAllFlows(TimePoint now) const;
    void removeFlow(TimePoint now, const FlowKey &key);
    void recordBalancer(TimePoint now, const Endpoint &balancer);
    StreamMessage answer(TimePoint now, StreamMessageKind kind, const FlowKey &key) const;

    StreamAgentSettings m_settings;
    const SegmentFormat &m_format;
    TargetDirectory m_directory;
    OpeningFence m_fence;
    FlowLookup m_lookup;
    FlowRetention m_retention;
    HeldFlows m_flows;
    LoadMeter m_meter;
    TargetWatch m_watch;
    TargetAnnouncer m_announcer;
    DirectoryPeers m_peers;
    RouteHistoryQueries m_historyQueries;
    TimePoint m_startedAt;
    OpeningQueue m_queue;
    /// Flows whose first request is expected, ordered by the time until which it is.
    std::deque<std::pair<TimePoint, FlowKey>> m_requestDeadlines;
    std::size_t m_awaitedRequestCount = 0;
    /// Requests in progress: deadline until which the request counts, its flow and its start.
    std::deque<std::tuple<TimePoint, FlowKey, TimePoint>> m_activeRequests;
    quint32 m_slotCount = 1;
    std::array<Delivery, deliveryCount> m_deliveries;
    quint32 m_nextTag = 1;
    /// Balancers that have sent segments, and until when they get load reports.
    std::unordered_map<Endpoint, TimePoint> m_balancers;
    TimePoint m_loadDeadline;
    /// The local target as last listed in the directory.
    TargetId m_targetId{};
    Incarnation m_targetIncarnation{};
    AnswerMeter m_answers;
    std::optional<TimePoint> m_stopDeadline;
    TimePoint m_stopMinimumDeadline{};
    /// Whether the end of the target was announced during the planned stop.
    bool m_hasAnnouncedEnd = false;
};

}
