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

/// Handles a caller's packet in one agent: delivers it, places the flow, forwards it or drops it.
class PacketPath
{
public:
    /// Maximum number of agents that a packet may visit, which ends forwarding loops between disagreeing tables.
    static constexpr quint8 maximumHops = 8;
    /// Maximum number of openings that wait for a later configuration.
    static constexpr std::size_t waitingOpeningLimit = 1024;

    /// Builds a path; the references must outlive it.
    PacketPath(AgentContext &context, const AgentConditions &conditions, const DirectoryRecovery &recovery, OwnedFlows &flows, OpeningPlacer &placer);

    /// Handles a packet from a balancer or another agent.
    void onForward(TimePoint now, const PeerMessage &message, const Forward &forward, AgentActions &actions);

    /// The target has reported whether it has the flow; processing of the packets that waited for it continues.
    void onTargetFlowState(TimePoint now, const TargetFlowState &state, AgentActions &actions);

    /// A configuration is in force; openings that waited for it are processed again.
    void onConfiguration(TimePoint now, AgentActions &actions);

    /// Forwards or drops packets whose wait has timed out.
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
