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

/// Places unknown openings as their home agent: asks earlier home agents, offers the flow, refuses it if nobody takes it.
///
/// Each opening is in the hands of one placement until it is decided, so that a repeated
/// opening is never given to two targets.
class OpeningPlacer
{
public:
    /// The most peers asked because of versions that are unknown here. Beyond, an opening repeated under
    /// an unknown version may find two owners; requests stay bound to the one that the caller knows.
    static constexpr std::size_t unknownHomeAgentLimit = 16;

    /// Builds a placer without pending openings.
    OpeningPlacer(AgentContext &context, PlacementHost &host);

    // Openings

    /// Starts to place an opening that this agent is home agent of and knows nothing about.
    void place(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions);

    /// Whether the opening is being placed.
    bool isPending(const FlowKey &flow, quint64 nonce) const;

    /// The refusal that was given to the opening lately; None if there is none.
    RefusalReason recentRefusal(const FlowKey &flow, quint64 nonce) const;

    // Messages

    /// An earlier home agent has answered.
    void onFlowReply(TimePoint now, TargetId from, const FlowReply &reply, AgentActions &actions);

    /// A candidate has accepted; false if the opening is not with this candidate.
    bool onAccepted(TimePoint now, const Hop &from, const Accepted &accepted, AgentActions &actions);

    /// A candidate has declined.
    void onDeclined(TimePoint now, TargetId from, const Declined &declined, AgentActions &actions);

    // Time

    /// Repeats offers and gives up what is late.
    void onTick(TimePoint now, AgentActions &actions);

    /// The number of openings being placed.
    std::size_t pendingCount() const
    {
        return m_pending.size();
    }

    /// Tells that tables earlier than this version may be unknown here: a peer behind it may be an earlier home agent.
    void setOldestKnownVersion(const ConfigurationVersion &version);

private:
    using Key = std::pair<FlowKey, quint64>;

    struct Pending
    {
        /// Earlier home agents that have not answered.
        std::set<TargetId> awaited;
        /// Whether the opening may be placed although some have not answered: they are suspected dead.
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
