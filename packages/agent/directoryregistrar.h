#pragma once

#include "agent/agentcontext.h"
#include "agent/flowtable.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Registers the flows that this agent owns at their home agents, with retransmission and anti-entropy by digests.
class DirectoryRegistrar
{
public:
    /// Builds a registrar without flows.
    explicit DirectoryRegistrar(AgentContext &context);

    // Flows

    /// Registers the flow, or its new flow incarnation, at its home agents.
    void add(TimePoint now, const OwnedFlow &flow);

    /// The flow has ended; its home agents are notified once.
    void remove(const FlowKey &flow, quint64 nonce, AgentActions &actions);

    /// Recomputes the home agents after a change of the configuration or of suspicions. Flows that were not used yet
    /// are registered too, since the home agent that placed them may no longer receive lookups.
    void recompute(TimePoint now, const FlowTable &flows);

    // Messages

    /// A home agent has acknowledged a batch.
    void onRegistered(TargetId homeAgent, quint64 batch);

    /// A home agent has requested all entries again, or has restarted.
    void resend(TimePoint now, TargetId homeAgent);

    /// Answers a directory pull: sends all entries again, or an empty digest if there are none for this home agent.
    void answerPull(TimePoint now, const Hop &homeAgent, AgentActions &actions);

    // Time

    /// Sends the batches and digests that are due.
    void onTick(TimePoint now, AgentActions &actions);

    /// The number of entries that a home agent has not yet acknowledged.
    std::size_t unconfirmed() const;

private:
    struct Batch
    {
        quint64 number = 0;
        std::vector<DirectoryEntry> entries;
        TimePoint deadline;
    };

    struct HomeAgent
    {
        Hop hop;
        std::unordered_map<FlowKey, DirectoryEntry> entries;
        std::deque<FlowKey> queue;
        std::optional<Batch> outstanding;
        TimePoint digestDeadline;
        bool isDigestDue = false;
    };

    std::vector<Hop> homeAgentsOf(const FlowKey &flow) const;
    HomeAgent &homeAgentFor(TimePoint now, const Hop &hop);
    DirectoryDigest digestFor(const HomeAgent &homeAgent) const;
    void sendNextBatch(TimePoint now, HomeAgent &homeAgent, AgentActions &actions);

    AgentContext &m_context;
    /// Ordered by target, so that the message order is deterministic.
    std::map<TargetId, HomeAgent> m_homeAgents;
    quint64 m_nextBatch = 1;
};

}
