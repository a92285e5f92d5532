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

/// Keeps the home agents of the flows that this agent owns informed: registration, repetition, anti-entropy.
class DirectoryRegistrar
{
public:
    /// Builds a registrar without flows.
    explicit DirectoryRegistrar(AgentContext &context);

    // Flows

    /// Registers the flow, or its new flow incarnation, at its home agents.
    void add(TimePoint now, const OwnedFlow &flow);

    /// The flow has ended; its home agents are told once.
    void remove(const FlowKey &flow, quint64 nonce, AgentActions &actions);

    /// Homes may have changed: the configuration or a suspicion did. Flows not used yet are registered too,
    /// since the home agent that placed them may no longer be asked.
    void recompute(TimePoint now, const FlowTable &flows);

    // Messages

    /// A home agent has acknowledged a batch.
    void onRegistered(TargetId homeAgent, quint64 batch);

    /// A home agent asks for all entries again, or has restarted.
    void resend(TimePoint now, TargetId homeAgent);

    /// A home agent that keeps no entry of this agent asks for the digest.
    void answerPull(TimePoint now, const Hop &homeAgent, AgentActions &actions);

    // Time

    /// Sends batches and digests that are due.
    void onTick(TimePoint now, AgentActions &actions);

    /// Entries that a home agent has not yet acknowledged.
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
    /// Ordered by target, so that the order of messages is the same in each run.
    std::map<TargetId, HomeAgent> m_homeAgents;
    quint64 m_nextBatch = 1;
};

}
