#pragma once

#include "stream/placement.h"
#include "stream/segmentformat.h"
#include "stream/streamaction.h"
#include "stream/streambalancersettings.h"
#include "stream/streamdecisions.h"
#include "stream/targetdirectory.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace Rattanpick
{

/// Every decision of a balancer about packets of byte-stream flows.
///
/// What it keeps of a flow is a cache: any packet of a flow that it does not know reaches its target through an agent.
class StreamBalancer : public StreamDecisions
{
public:
    /// Builds a balancer without a configuration; @p format must outlive it.
    StreamBalancer(const StreamBalancerSettings &settings, const SegmentFormat &format);

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

    // State

    /// What is known of targets and routes.
    const TargetDirectory &directory() const
    {
        return m_directory;
    }

    /// Flows whose target is kept.
    std::size_t flowCount() const
    {
        return m_flows.size();
    }

private:
    struct Flow
    {
        /// The target that holds the flow or was offered it last; 0 if not known.
        TargetId target{};
        /// The agent beside it. A target that has just started may still be told under the name of the one before, so
        /// that only the agent can say which of the two holds the flow.
        Endpoint agent;
        ServiceId service{};
        /// Whether the target is known to hold the flow.
        bool isHeld = false;
        quint32 openingSequence = 0;
        /// The opening as the caller sent it, until a target has answered.
        QByteArray opening;
        std::vector<TargetId> candidates;
        std::size_t nextCandidate = 0;
        int offers = 0;
        /// When the caller sent the opening that is under way.
        TimePoint openedAt{};
        /// Until when the opening waits beside a target; a copy of it brings nothing new.
        TimePoint waitDeadline{};
        /// The packet that is given to an agent which searches for the flow, and that agent's target.
        QByteArray locatedPacket;
        TargetId finder{};
        int searches = 0;
        TimePoint forgetDeadline{};
        /// Set while the agent is asked whether it is still there: what the caller has acknowledged, for a reset.
        std::optional<quint32> doubtedAcknowledgement;
    };

    void onOpening(TimePoint now, const QByteArray &packet, const Segment &segment, const Route &route, StreamActions &actions);
    void onLaterSegment(TimePoint now, const QByteArray &packet, const Segment &segment, StreamActions &actions);
    std::vector<TargetId> candidatesFor(TimePoint now, const Route &route, const FlowKey &flow);
    void offerNext(TimePoint now, const FlowKey &key, Flow &flow, StreamActions &actions);
    void locate(TimePoint now, const FlowKey &key, Flow &flow, StreamActions &actions);
    bool retryOffer(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions);
    bool retrySearch(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions);
    bool judgeDoubted(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions);
    void askAgent(TimePoint now, const FlowKey &key, Flow &flow, quint32 acknowledgement, StreamActions &actions);
    QString targetName(TargetId target) const;
    bool isMissing(TimePoint now, const Flow &flow) const;
    bool isHeard(TimePoint now, const Endpoint &agent, Duration within) const;
    void reset(const FlowKey &key, quint32 sequence, const QString &reason, EventNumber number, StreamActions &actions) const;
    StreamMessage messageTo(StreamMessageKind kind, const TargetDirectory::Entry &entry) const;
    StreamMessage messageAbout(const Flow &flow, StreamMessageKind kind) const;
    void keep(TimePoint now, const FlowKey &key, Flow &flow);
    void forgetExpired(TimePoint now);

    StreamBalancerSettings m_settings;
    const SegmentFormat &m_format;
    TargetDirectory m_directory;
    Placement m_placement;
    std::unordered_map<FlowKey, Flow> m_flows;
    /// When each agent was heard from last; as many as there are targets.
    std::map<Endpoint, TimePoint> m_heardAt;
    /// Openings that wait for an answer, in the order of their deadlines.
    std::deque<std::pair<TimePoint, FlowKey>> m_offers;
    /// When each flow is looked at again, in the order of these times.
    std::deque<std::pair<TimePoint, FlowKey>> m_expiries;
    TimePoint m_pingDeadline = TimePoint::max();
    std::optional<TimePoint> m_stopDeadline;
    quint64 m_nextQuestion = 0;
    /// The latest version of the routes that any peer has in force.
    quint64 m_latestVersion = 0;
};

}
