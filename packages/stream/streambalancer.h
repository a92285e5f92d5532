#pragma once

#include "stream/flowposition.h"
#include "stream/flowretention.h"
#include "stream/placement.h"
#include "stream/segmentformat.h"
#include "stream/silentagents.h"
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

/// Makes all decisions of a balancer about packets of byte-stream flows.
///
/// The state of the flows is only a cache: packets of a flow without an entry reach their target through an agent.
class StreamBalancer : public StreamDecisions
{
public:
    /// Builds a balancer without a configuration; @p format must outlive it.
    StreamBalancer(const StreamBalancerSettings &settings, const SegmentFormat &format);

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
    bool isReader() override;
    bool isIsolated() const override;
    bool isReady() const override;

    // State

    /// Targets and routes.
    const TargetDirectory &directory() const
    {
        return m_directory;
    }

    /// Flows whose target is cached.
    std::size_t flowCount() const
    {
        return m_flows.size();
    }

private:
    struct Flow
    {
        /// The target that holds the flow or was offered it last; 0 if unknown.
        TargetId target{};
        /// The agent of the target. A target that has just started may still be reported under the name of its
        /// predecessor, so that only the agent can tell which of the two holds the flow.
        Endpoint agent;
        ServiceId service{};
        /// Whether the target has confirmed that it holds the flow.
        bool isHeld = false;
        quint32 openingSequence = 0;
        /// Shown by the caller's latest packet.
        FlowPosition position;
        /// The opening as sent by the caller, until a target has answered it.
        QByteArray opening;
        std::vector<TargetId> candidates;
        std::size_t nextCandidate = 0;
        int offers = 0;
        /// When the caller sent the pending opening.
        TimePoint openedAt{};
        /// Until when the opening is queued at an agent; copies of it are dropped until then.
        TimePoint waitDeadline{};
        /// The packet that was sent to an agent for a lookup, and the target of that agent.
        QByteArray locatedPacket;
        TargetId lookupTarget{};
        int lookups = 0;
        /// Sequence number of the latest segment with data that was sent to the agent.
        std::optional<quint32> dataSequence;
        /// When the latest packet of the flow passed.
        TimePoint latestActivity{};
        /// Whether that packet ended the caller's side of the flow.
        bool isFinished = false;
        /// Set while the agent is pinged to check whether it is reachable: the latest acknowledgement of the caller,
        /// for a reset.
        std::optional<quint32> suspectAcknowledgement;
    };

    void onOpening(TimePoint now, const QByteArray &packet, const Segment &segment, const Route &route, StreamActions &actions);
    void onLaterSegment(TimePoint now, const QByteArray &packet, const Segment &segment, StreamActions &actions);
    std::vector<TargetId> candidatesFor(TimePoint now, const Route &route, const FlowKey &flow);
    void offerNext(TimePoint now, const FlowKey &key, Flow &flow, StreamActions &actions);
    void relayRepeated(TimePoint now, const FlowKey &key, Flow &flow, const Segment &segment, const StreamMessage &message, StreamActions &actions) const;
    void locate(TimePoint now, const FlowKey &key, Flow &flow, StreamActions &actions);
    bool retryOffer(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions);
    bool retryLookup(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions);
    bool checkSuspectAgent(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions);
    void pingAgent(TimePoint now, const FlowKey &key, const Flow &flow, StreamActions &actions);
    QString targetName(TargetId target) const;
    bool isMissing(TimePoint now, const Flow &flow) const;
    bool wasSeenWithin(TimePoint now, const Endpoint &agent, Duration within) const;
    void reset(const FlowKey &key, quint32 sequence, const QString &reason, EventNumber number, StreamActions &actions) const;
    StreamMessage messageTo(StreamMessageKind kind, const TargetDirectory::Entry &entry) const;
    StreamMessage messageAbout(const Flow &flow, StreamMessageKind kind) const;
    void recordActivity(TimePoint now, const FlowKey &key, Flow &flow);
    /// Removes the next offers as far as they were answered.
    void dropAnsweredOffers();
    void removeExpired(TimePoint now);

    StreamBalancerSettings m_settings;
    const SegmentFormat &m_format;
    TargetDirectory m_directory;
    Placement m_placement;
    FlowRetention m_retention;
    SilentAgents m_silentAgents;
    std::unordered_map<FlowKey, Flow> m_flows;
    /// When the latest message of each agent arrived; at most one entry per target.
    std::map<Endpoint, TimePoint> m_lastSeenAt;
    /// Openings and lookups that wait for an answer, ordered by deadline.
    std::deque<std::pair<TimePoint, FlowKey>> m_offers;
    /// When each flow is checked for expiry, ordered by time.
    std::deque<std::pair<TimePoint, FlowKey>> m_checks;
    TimePoint m_pingDeadline = TimePoint::max();
    std::optional<TimePoint> m_stopDeadline;
    quint64 m_nextQuery = 0;
    /// The newest version of the routes that any peer has active.
    quint64 m_latestVersion = 0;
};

}
