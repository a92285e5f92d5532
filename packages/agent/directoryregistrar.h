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

/// Keeps the homes of the flows that this agent owns informed: registration, repetition, anti-entropy.
class DirectoryRegistrar
{
public:
    /// Builds a registrar without flows.
    explicit DirectoryRegistrar(AgentContext &context);

    // Flows

    /// Registers the flow, or its new flow incarnation, at its homes.
    void add(TimePoint now, const OwnedFlow &flow);

    /// The flow has ended; its homes are told once.
    void remove(const FlowKey &flow, quint64 nonce, AgentActions &actions);

    /// Homes may have changed: the configuration or a suspicion did. Flows not used yet are registered too,
    /// since the home that placed them may no longer be asked.
    void recompute(TimePoint now, const FlowTable &flows);

    // Messages

    /// A home has acknowledged a batch.
    void onRegistered(TargetId home, quint64 batch);

    /// A home asks for all entries again, or has restarted.
    void resend(TimePoint now, TargetId home);

    /// A home that keeps no entry of this agent asks for the digest.
    void answerPull(TimePoint now, const Hop &home, AgentActions &actions);

    // Time

    /// Sends batches and digests that are due.
    void onTick(TimePoint now, AgentActions &actions);

    /// Entries that a home has not yet acknowledged.
    std::size_t unconfirmed() const;

private:
    struct Batch
    {
        quint64 number = 0;
        std::vector<DirectoryEntry> entries;
        TimePoint deadline;
    };

    struct Home
    {
        Hop hop;
        std::unordered_map<FlowKey, DirectoryEntry> entries;
        std::deque<FlowKey> queue;
        std::optional<Batch> outstanding;
        TimePoint digestDeadline;
        bool isDigestDue = false;
    };

    std::vector<Hop> homesOf(const FlowKey &flow) const;
    Home &homeFor(TimePoint now, const Hop &hop);
    DirectoryDigest digestFor(const Home &home) const;
    void sendNextBatch(TimePoint now, Home &home, AgentActions &actions);

    AgentContext &m_context;
    /// Ordered by target, so that the order of messages is the same in each run.
    std::map<TargetId, Home> m_homes;
    quint64 m_nextBatch = 1;
};

}
