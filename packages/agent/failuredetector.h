#pragma once

#include "agent/agentcontext.h"

#include <map>
#include <set>
#include <vector>

namespace Rattanpick
{

/// Sends heartbeats to other agents of the service and suspects those whose heartbeats stay away.
///
/// The agents of a service form a ring by target identifier. Each sends heartbeats to the agents that
/// follow it and watches those before it. One report alone convinces nobody: a second watcher or
/// the instance list must agree, since a cut-off watcher would else suspect everybody.
class FailureDetector
{
public:
    /// Up to this many targets of a service, every agent sends heartbeats to all others, which spreads loads.
    static constexpr std::size_t fullMeshLimit = 16;

    /// Builds a detector that watches nobody.
    explicit FailureDetector(AgentContext &context);

    /// The targets of the service may have changed.
    void recompute(TimePoint now);

    /// A heartbeat or any other message came from the peer.
    void onPeerAlive(TimePoint now, const Hop &from, Incarnation incarnation, AgentActions &actions);

    /// Another agent reports or refutes; true if the set of suspected peers has changed.
    bool onSuspicion(TimePoint now, const Suspicion &suspicion, AgentActions &actions);

    /// Starts all waiting anew: after a pause of this process, silence of the others means nothing.
    void resetSilenceDeadlines(TimePoint now);

    /// Tells others not to use this agent as home agent: it stops as planned.
    void announceStop(AgentActions &actions);

    /// Sends one heartbeat to an agent that has asked for it.
    void answerHeartbeat(const Hop &requester, bool isDraining, AgentActions &actions);

    /// Sends heartbeats and reports that are due; true if the set of suspected peers has changed.
    bool onTick(TimePoint now, bool isDraining, AgentActions &actions);

private:
    std::vector<Hop> successorsOf(TargetId target) const;
    bool confirmIfAgreed(const Hop &suspect, Incarnation incarnation, AgentActions &actions);
    void spreadToService(const Suspicion &suspicion, AgentActions &actions);
    void refute(const Hop &hop, Incarnation incarnation, AgentActions &actions);

    AgentContext &m_context;
    std::vector<Hop> m_ring;
    std::vector<Hop> m_receivers;
    /// When the heartbeats of a watched peer have stayed away too long.
    std::map<TargetId, TimePoint> m_silenceDeadlines;
    /// Who has reported the suspect.
    std::map<TargetId, std::set<TargetId>> m_reports;
    TimePoint m_heartbeatDeadline;
    /// When a changed load may be told before the next heartbeat is due.
    TimePoint m_loadUpdateDeadline;
    int m_reportedLoadPermille = 0;
    quint64 m_sequence = 0;
    bool m_isStopping = false;
};

}
