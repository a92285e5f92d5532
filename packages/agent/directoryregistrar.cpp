#include "agent/directoryregistrar.h"

#include "agent/flowdirectory.h"

#include <algorithm>

namespace Rattanpick
{

DirectoryRegistrar::DirectoryRegistrar(AgentContext &context)
    : m_context(context)
{
}

// Flows

void DirectoryRegistrar::add(TimePoint now, const OwnedFlow &flow)
{
    const DirectoryEntry entry{flow.flow, flow.nonce, m_context.self(), flow.flowIncarnation};
    for (const Hop &hop : homeAgentsOf(flow.flow)) {
        HomeAgent &homeAgent = homeAgentFor(now, hop);
        homeAgent.entries.insert_or_assign(flow.flow, entry);
        homeAgent.queue.push_back(flow.flow);
    }
}

void DirectoryRegistrar::remove(const FlowKey &flow, quint64 nonce, AgentActions &actions)
{
    for (auto &[target, homeAgent] : m_homeAgents) {
        homeAgent.entries.erase(flow);
    }
    // The home agent that placed the flow has an entry even if the flow was never registered.
    for (const Hop &homeAgent : homeAgentsOf(flow)) {
        m_context.send(homeAgent, Release{flow, nonce}, actions);
    }
}

void DirectoryRegistrar::recompute(TimePoint now, const FlowTable &flows)
{
    std::map<TargetId, HomeAgent> earlier;
    earlier.swap(m_homeAgents);
    const std::vector<OwnedFlow> owned = flows.matching([](const OwnedFlow &) { return true; });
    for (const OwnedFlow &flow : owned) {
        const DirectoryEntry entry{flow.flow, flow.nonce, m_context.self(), flow.flowIncarnation};
        for (const Hop &hop : homeAgentsOf(flow.flow)) {
            HomeAgent &homeAgent = homeAgentFor(now, hop);
            homeAgent.entries.emplace(flow.flow, entry);
            // Entries that a home agent has acknowledged are not sent again; the digest detects lost ones.
            const auto before = earlier.find(hop.target);
            const bool wasSent = before != earlier.end() && before->second.entries.contains(flow.flow);
            const bool wasAcknowledged =
                wasSent && std::ranges::find(before->second.queue, flow.flow) == before->second.queue.end()
                && (!before->second.outstanding || std::ranges::find(before->second.outstanding->entries, entry) == before->second.outstanding->entries.end());
            if (!wasAcknowledged) {
                homeAgent.queue.push_back(flow.flow);
            }
        }
    }
}

// Messages

void DirectoryRegistrar::onRegistered(TargetId homeAgent, quint64 batch)
{
    const auto found = m_homeAgents.find(homeAgent);
    if (found == m_homeAgents.end() || !found->second.outstanding || found->second.outstanding->number != batch) {
        return;
    }
    found->second.outstanding.reset();
}

void DirectoryRegistrar::resend(TimePoint now, TargetId homeAgent)
{
    const auto found = m_homeAgents.find(homeAgent);
    if (found == m_homeAgents.end()) {
        return;
    }
    HomeAgent &state = found->second;
    state.outstanding.reset();
    state.queue.clear();
    for (const auto &[flow, entry] : state.entries) {
        state.queue.push_back(flow);
    }
    std::ranges::sort(state.queue);
    state.isDigestDue = true;
    state.digestDeadline = now + m_context.settings().directoryRefresh;
}

void DirectoryRegistrar::answerPull(TimePoint now, const Hop &homeAgent, AgentActions &actions)
{
    const auto found = m_homeAgents.find(homeAgent.target);
    if (found == m_homeAgents.end() || found->second.entries.empty()) {
        // An empty digest informs a restarted home agent that this owner has no entries for it.
        m_context.send(homeAgent, DirectoryDigest{}, actions);
        return;
    }
    resend(now, homeAgent.target);
}

// Time

void DirectoryRegistrar::onTick(TimePoint now, AgentActions &actions)
{
    for (auto &[target, homeAgent] : m_homeAgents) {
        if (now >= homeAgent.digestDeadline) {
            homeAgent.digestDeadline = now + m_context.settings().directoryRefresh;
            homeAgent.isDigestDue = !homeAgent.entries.empty();
        }
        // Nothing is sent to a suspected peer; its refutation or restart triggers the registration again.
        if (m_context.peers().isSuspected(target)) {
            continue;
        }
        if (homeAgent.outstanding) {
            if (now < homeAgent.outstanding->deadline) {
                continue;
            }
            homeAgent.outstanding->deadline = now + m_context.settings().registerTimeout;
            m_context.send(homeAgent.hop, Register{homeAgent.outstanding->number, homeAgent.outstanding->entries}, actions);
            continue;
        }
        sendNextBatch(now, homeAgent, actions);
        if (!homeAgent.outstanding && homeAgent.isDigestDue) {
            homeAgent.isDigestDue = false;
            m_context.send(homeAgent.hop, digestFor(homeAgent), actions);
        }
    }
}

std::size_t DirectoryRegistrar::unconfirmed() const
{
    std::size_t count = 0;
    for (const auto &[target, homeAgent] : m_homeAgents) {
        count += homeAgent.queue.size() + (homeAgent.outstanding ? homeAgent.outstanding->entries.size() : 0);
    }
    return count;
}

std::vector<Hop> DirectoryRegistrar::homeAgentsOf(const FlowKey &flow) const
{
    const CandidateTable::Candidates candidates = m_context.candidatesOf(flow);
    const TargetId self = m_context.settings().target;
    std::vector<Hop> homeAgents;
    // If the owner itself is the first home agent, the flow is found without a directory entry.
    if (candidates[0].target == self || candidates[0].target == TargetId{}) {
        return homeAgents;
    }
    bool isAnySuspected = false;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Hop &candidate = candidates[index];
        const bool isThirdNeeded = index < 2 || isAnySuspected;
        if (candidate.target == TargetId{} || candidate.target == self || !isThirdNeeded) {
            continue;
        }
        isAnySuspected = isAnySuspected || m_context.peers().isSuspected(candidate.target);
        homeAgents.push_back(candidate);
    }
    return homeAgents;
}

DirectoryRegistrar::HomeAgent &DirectoryRegistrar::homeAgentFor(TimePoint now, const Hop &hop)
{
    const auto [place, isNew] = m_homeAgents.try_emplace(hop.target);
    place->second.hop = hop;
    if (isNew) {
        place->second.digestDeadline = now + m_context.settings().directoryRefresh;
    }
    return place->second;
}

DirectoryDigest DirectoryRegistrar::digestFor(const HomeAgent &homeAgent) const
{
    // Only entries for which the home agent is one of the first two candidates count, as the home agent itself counts
    // them.
    DirectoryDigest digest;
    for (const auto &[flow, entry] : homeAgent.entries) {
        const CandidateTable::Candidates candidates = m_context.candidatesOf(flow);
        if (candidates[0].target != homeAgent.hop.target && candidates[1].target != homeAgent.hop.target) {
            continue;
        }
        ++digest.count;
        digest.digest ^= FlowDirectory::digestPart(entry);
    }
    return digest;
}

void DirectoryRegistrar::sendNextBatch(TimePoint now, HomeAgent &homeAgent, AgentActions &actions)
{
    Batch batch;
    while (!homeAgent.queue.empty() && batch.entries.size() < Register::maximumEntries) {
        const auto found = homeAgent.entries.find(homeAgent.queue.front());
        homeAgent.queue.pop_front();
        // The flow may have ended or may be queued twice.
        if (found == homeAgent.entries.end() || std::ranges::find(batch.entries, found->second) != batch.entries.end()) {
            continue;
        }
        batch.entries.push_back(found->second);
    }
    if (batch.entries.empty()) {
        return;
    }
    batch.number = m_nextBatch++;
    batch.deadline = now + m_context.settings().registerTimeout;
    m_context.send(homeAgent.hop, Register{batch.number, batch.entries}, actions);
    homeAgent.outstanding = std::move(batch);
}

}
