#pragma once

#include "agent/agentcontext.h"
#include "agent/placementhost.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Rattanpick
{

/// Places new flows as their home agent: queries earlier home agents, offers the flow to the candidates, and refuses it
/// if none accepts.
///
/// Only one placement of an opening is in progress at a time, so that a repeated opening never reaches two targets.
class OpeningPlacer
{
public:
    /// Number of queried peers from which on no more are added for versions that are unknown here. In that case an
    /// opening repeated under an unknown version may get two owners; requests stay bound to the one that the caller has
    /// received.
    static constexpr std::size_t unknownHomeAgentLimit = 16;

    /// Builds a placer without pending openings.
    OpeningPlacer(AgentContext &context, PlacementHost &host);

    // Openings

    /// Starts to place an opening for which this agent is the home agent and has no record.
    void place(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions);

    /// Whether the opening is being placed.
    bool isPending(const FlowKey &flow, quint64 nonce) const;

    /// The reason of a recent refusal of the opening; None if there is none.
    RefusalReason recentRefusal(const FlowKey &flow, quint64 nonce) const;

    // Messages

    /// An earlier home agent has answered.
    void onFlowReply(TimePoint now, TargetId from, const FlowReply &reply, AgentActions &actions);

    /// A candidate has accepted; false if the opening is not on offer to this candidate.
    bool onAccepted(TimePoint now, const Hop &from, const Accepted &accepted, AgentActions &actions);

    /// A candidate has declined.
    void onDeclined(TimePoint now, TargetId from, const Declined &declined, AgentActions &actions);

    // Time

    /// Repeats offers and ends placements that have timed out.
    void onTick(TimePoint now, AgentActions &actions);

    /// The number of openings being placed.
    std::size_t pendingCount() const
    {
        return m_pending.size();
    }

    /// Sets the oldest version since which this agent has every table: a peer with an earlier version may act as home
    /// agent under a table that is unknown here.
    void setOldestKnownVersion(const ConfigurationVersion &version);

private:
    using Key = std::pair<FlowKey, quint64>;

    struct Pending
    {
        /// Queried home agents that have not answered.
        std::set<TargetId> awaited;
        /// Whether the opening may be placed although some have not answered, since they are suspected.
        bool mayProceed = false;
        bool isOffering = false;
        std::vector<Hop> candidates;
        std::size_t nextCandidate = 0;
        Hop offeredTo;
        int attempts = 0;
        RefusalReason lastReason = RefusalReason::NoTarget;
        TimePoint deadline;
    };

    struct Refusal
    {
        RefusalReason reason = RefusalReason::None;
        TimePoint deadline;
    };

    std::vector<Hop> earlierHomeAgentsOf(const FlowKey &flow) const;
    void requestLoads(TimePoint now, const FlowKey &flow, AgentActions &actions);
    std::vector<Hop> orderedCandidates(TimePoint now, const FlowKey &flow);
    void startOffering(TimePoint now, const Key &key, AgentActions &actions);
    void tryNextCandidate(TimePoint now, const Key &key, AgentActions &actions);
    void sendOffer(TimePoint now, const Key &key, Pending &pending, AgentActions &actions);
    void refuse(TimePoint now, const Key &key, RefusalReason reason, AgentActions &actions);
    void onDeadline(TimePoint now, const Key &key, AgentActions &actions);

    AgentContext &m_context;
    PlacementHost &m_host;
    std::map<Key, Pending> m_pending;
    std::map<Key, Refusal> m_refusals;
    ConfigurationVersion m_oldestKnownVersion;
};

}
