#pragma once

#include "agent/agentcontext.h"
#include "agent/directoryrecovery.h"
#include "agent/openingplacer.h"
#include "agent/ownedflows.h"
#include "agent/targetprobes.h"

#include <deque>
#include <utility>

namespace Rattanpick
{

/// The way of a caller's packet through one agent: delivered, placed, passed on or dropped.
class PacketPath
{
public:
    /// Agents that a packet may pass before it is dropped; more means that tables disagree for too long.
    static constexpr quint8 maximumHops = 8;
    /// The most openings that wait for a later configuration.
    static constexpr std::size_t waitingOpeningLimit = 1024;

    /// Builds a path; the references must outlive it.
    PacketPath(AgentContext &context, const AgentConditions &conditions, const DirectoryRecovery &recovery, OwnedFlows &flows, OpeningPlacer &placer);

    /// A packet from a balancer or another agent.
    void onForward(TimePoint now, const PeerMessage &message, const Forward &forward, AgentActions &actions);

    /// The target says whether it holds a flow; packets that waited for it go on.
    void onTargetFlowState(TimePoint now, const TargetFlowState &state, AgentActions &actions);

    /// A configuration is in force: openings that waited for it are looked at again.
    void onConfiguration(TimePoint now, AgentActions &actions);

    /// Ends the wait of packets that is over.
    void onTick(TimePoint now, AgentActions &actions);

private:
    void onOpen(TimePoint now, const PeerMessage &message, const Forward &forward, const Open &open, AgentActions &actions);
    bool repeatDecision(const PeerMessage &message, const Forward &forward, const Open &open, AgentActions &actions);
    void onMidFlow(TimePoint now, const PeerMessage &message, const Forward &forward, const CallerMessage &body, AgentActions &actions);
    void deliver(TimePoint now, OwnedFlow &flow, const CallerMessage &body, AgentActions &actions);
    void forwardToNextHop(TimePoint now, const PeerMessage &message, Forward forward, bool isUncertain, AgentActions &actions);
    void forwardTo(const Hop &hop, const PeerMessage &message, const Forward &forward, AgentActions &actions);

    AgentContext &m_context;
    const AgentConditions &m_conditions;
    const DirectoryRecovery &m_recovery;
    OwnedFlows &m_flows;
    OpeningPlacer &m_placer;
    TargetProbes m_probes;
    std::deque<std::pair<TimePoint, PeerMessage>> m_waitingOpenings;
};

}
