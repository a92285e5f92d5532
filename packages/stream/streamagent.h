#pragma once

#include "stream/answermeter.h"
#include "stream/flowsearch.h"
#include "stream/heldflow.h"
#include "stream/loadmeter.h"
#include "stream/openingfence.h"
#include "stream/openingqueue.h"
#include "stream/segmentformat.h"
#include "stream/streamaction.h"
#include "stream/streamagentsettings.h"
#include "stream/streamdecisions.h"
#include "stream/targetdirectory.h"

#include <array>
#include <deque>
#include <tuple>
#include <unordered_map>

namespace Rattanpick
{

/// Every decision of the process beside a target that holds byte-stream flows.
///
/// The target alone knows its flows: what it bounces it does not hold, what it sends for a flow shows that it does.
class StreamAgent : public StreamDecisions
{
public:
    /// Builds an agent that may stand beside a target with flows already; @p format must outlive it.
    StreamAgent(const StreamAgentSettings &settings, const SegmentFormat &format, TimePoint now);

    // StreamDecisions

    void onDirectoryChange(TimePoint now, const DirectoryChange &change, StreamActions &actions) override;
    void onPacket(TimePoint now, const QByteArray &packet, StreamActions &actions) override;
    void onMessage(TimePoint now, const StreamMessage &message, StreamActions &actions) override;
    void onTick(TimePoint now, StreamActions &actions) override;
    TimePoint nextDeadline() const override;
    void onTargetProbed(TimePoint now, bool isProcessAlive, StreamActions &actions) override;
    void onPause(TimePoint now) override;
    void beginStop(TimePoint now, StreamActions &actions) override;
    void onWithdrawn(TimePoint now) override;
    bool isStopped(TimePoint now) const override;
    void onNewRevision(TimePoint now, StreamActions &actions) override;
    void onStaleDirectory(TimePoint now, StreamActions &actions) override;
    bool isReader() override;
    bool isIsolated() const override;
    bool isReady() const override;

    // Target and state

    /// What is known of targets and routes.
    const TargetDirectory &directory() const
    {
        return m_directory;
    }

    /// The load as told to balancers.
    LoadReport load(TimePoint now) const;

private:
    /// What a packet given to the target was for, in case that the target bounces it.
    struct Delivery
    {
        quint32 tag = 0;
        StreamMessage message;
        FlowKey flow;
    };

    /// Which candidate of a message is taken: the best, or the one that was offered the opening last.
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
    void onTargetHeard(TimePoint now, StreamActions &actions);
    void endTarget(TimePoint now, StreamActions &actions);
    void watchTarget(TimePoint now, StreamActions &actions);
    TimePoint probeDeadline() const;
    void tellLoad(TimePoint now, StreamActions &actions);

    // Packets of the target
    void onBounced(TimePoint now, const QByteArray &packet, const Segment &segment, StreamActions &actions);
    void onAnswer(TimePoint now, const FlowKey &key, HeldFlow &flow, const Segment &segment, StreamActions &actions);

    // Waiting openings
    bool hasRoom() const;
    /// Whether an opening may find a free slot beside another target.
    bool isWorthHunting(const StreamMessage &message) const;
    void hunt(const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    Duration expectedWait(int priority) const;
    void wait(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    void releaseWaiting(TimePoint now, StreamActions &actions);
    void accept(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    void endRequestAwait(HeldFlow &flow);
    void endUnanswered(TimePoint now, HeldFlow &flow);
    void dropUnanswered(TimePoint now);

    // Steps
    /// The target's entry, unless the target is unknown or the own one.
    const TargetDirectory::Entry *findOther(TargetId target) const;
    /// Addresses the message to its next candidate that is known; null if none is left.
    const TargetDirectory::Entry *takeCandidate(StreamMessage &message, CandidateOrder order) const;
    void passOpeningOn(const StreamMessage &message, const FlowKey &key, const QString &reason, StreamActions &actions);
    void deliver(TimePoint now, const FlowKey &key, HeldFlow &flow, const StreamMessage &message, const Segment &segment, StreamActions &actions);
    HeldFlow &assume(TimePoint now, const FlowKey &key, const StreamMessage &message, const Segment &segment, StreamActions &actions);
    void giveToTarget(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    void denyFlow(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    void denyProbe(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions) const;
    void search(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions);
    void resetAfterSearch(TimePoint now, const FlowKey &key, const QByteArray &packet, StreamActions &actions);
    void noteCallerSegment(TimePoint now, HeldFlow &flow, const StreamMessage &message, const Segment &segment);
    void breakFlow(TimePoint now, const FlowKey &key, HeldFlow &flow, const QString &reason, StreamActions &actions);
    void forget(TimePoint now, const FlowKey &key);
    void keep(TimePoint now, const FlowKey &key, HeldFlow &flow);
    void rememberBalancer(TimePoint now, const Endpoint &balancer);
    bool knowsAllFlows(TimePoint now) const;
    bool isOfThisAnswer(const HeldFlow &flow, const Segment &segment) const;
    StreamMessage answer(TimePoint now, StreamMessageKind kind, const FlowKey &key) const;
    /// The flow, unless its target has not shown yet whether it holds it.
    const HeldFlow *findUnassumed(const FlowKey &key);
    HeldFlow *find(const FlowKey &key);
    Duration idleTimeout() const;

    StreamAgentSettings m_settings;
    const SegmentFormat &m_format;
    TargetDirectory m_directory;
    OpeningFence m_fence;
    FlowSearch m_search;
    LoadMeter m_meter;
    OpeningQueue m_queue;
    /// Flows whose first request is awaited, in the order of the times when it no longer is.
    std::deque<std::pair<TimePoint, FlowKey>> m_awaits;
    std::size_t m_awaitedRequests = 0;
    /// Requests in progress: until when each counts, its flow and its begin.
    std::deque<std::tuple<TimePoint, FlowKey, TimePoint>> m_running;
    quint32 m_slotCount = 1;
    std::unordered_map<FlowKey, HeldFlow> m_flows;
    std::deque<std::pair<TimePoint, FlowKey>> m_expiries;
    std::array<Delivery, deliveryCount> m_deliveries;
    quint32 m_nextTag = 1;
    /// Balancers that have sent segments, and until when they are told the load.
    std::unordered_map<Endpoint, TimePoint> m_balancers;
    /// Processes that ask this one how fresh the directory is, and until when they are told of news.
    std::unordered_map<Endpoint, TimePoint> m_followers;
    bool m_isReader = false;
    quint64 m_readerGeneration = 0;
    quint64 m_nextQuestion = 0;
    TimePoint m_loadDeadline;
    TimePoint m_adoptionDeadline;
    /// As the directory named the target beside this process last.
    TargetId m_targetId{};
    Incarnation m_targetIncarnation{};
    AnswerMeter m_answers;
    /// When the target was given the first packet after it was heard last; nothing if it owes no answer.
    std::optional<TimePoint> m_givenAt;
    TimePoint m_probeDeadline{};
    bool m_hasTargetEnded = false;
    std::optional<TimePoint> m_stopDeadline;
    TimePoint m_stopMinimumDeadline{};
};

}
