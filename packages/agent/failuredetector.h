#pragma once

#include "agent/agentcontext.h"

#include <map>
#include <set>
#include <vector>

namespace Rattanpick
{

/// Sends heartbeats to other agents of the service and suspects those whose heartbeats are missing.
///
/// The agents of a service form a ring ordered by target identifier. Each sends heartbeats to its successors and
/// watches its predecessors. A suspicion needs a second watcher or the instance list to confirm it, since an isolated
/// watcher would otherwise suspect every agent.
class FailureDetector
{
public:
    /// Up to this many targets of a service, every agent sends heartbeats, and with them its load, to all others.
    static constexpr std::size_t fullMeshLimit = 16;

    /// Builds a detector that watches no agent.
    explicit FailureDetector(AgentContext &context);

    /// Rebuilds the ring from the configuration.
    void recompute(TimePoint now);

    /// A heartbeat or another message has arrived from the peer.
    void onPeerAlive(TimePoint now, const Hop &from, Incarnation incarnation, AgentActions &actions);

    /// Handles a suspicion or refutation from another agent; true if the set of suspected peers has changed.
    bool onSuspicion(TimePoint now, const Suspicion &suspicion, AgentActions &actions);

    /// Restarts all silence timers: after a pause of this process, missing heartbeats are no evidence of a failure.
    void resetSilenceDeadlines(TimePoint now);

    /// Announces a planned stop, so that other agents no longer use this one as home agent.
    void announceStop(AgentActions &actions);

    /// Sends one heartbeat to an agent that has requested it.
    void answerHeartbeat(const Hop &requester, bool isDraining, AgentActions &actions);

    /// Sends the heartbeats and reports that are due; true if the set of suspected peers has changed.
    bool onTick(TimePoint now, bool isDraining, AgentActions &actions);

private:
    std::vector<Hop> successorsOf(TargetId target) const;
    bool confirmIfAgreed(const Hop &suspect, Incarnation incarnation, AgentActions &actions);
    void spreadToService(const Suspicion &suspicion, AgentActions &actions);
    void refute(const Hop &hop, Incarnation incarnation, AgentActions &actions);

    AgentContext &m_context;
    std::vector<Hop> m_ring;
    std::vector<Hop> m_receivers;
    /// When a watched peer is reported unless a message arrives from it.
    std::map<TargetId, TimePoint> m_silenceDeadlines;
    /// The watchers that have reported each suspect.
    std::map<TargetId, std::set<TargetId>> m_reports;
    TimePoint m_heartbeatDeadline;
    /// When a changed load may be advertised before the next regular heartbeat.
    TimePoint m_loadUpdateDeadline;
    int m_reportedLoadPermille = 0;
    quint64 m_sequence = 0;
    bool m_isStopping = false;
};

}
