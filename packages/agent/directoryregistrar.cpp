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
    for (const Hop &hop : homesOf(flow.flow)) {
        Home &home = homeFor(now, hop);
        home.entries.insert_or_assign(flow.flow, entry);
        home.queue.push_back(flow.flow);
    }
}

void DirectoryRegistrar::remove(const FlowKey &flow, quint64 nonce, AgentActions &actions)
{
    for (auto &[target, home] : m_homes) {
        home.entries.erase(flow);
    }
    // The home that placed the flow knows it even if it was never registered.
    for (const Hop &home : homesOf(flow)) {
        m_context.send(home, Release{flow, nonce}, actions);
    }
}

void DirectoryRegistrar::recompute(TimePoint now, const FlowTable &flows)
{
    std::map<TargetId, Home> earlier;
    earlier.swap(m_homes);
    const std::vector<OwnedFlow> owned = flows.matching([](const OwnedFlow &) { return true; });
    for (const OwnedFlow &flow : owned) {
        const DirectoryEntry entry{flow.flow, flow.nonce, m_context.self(), flow.flowIncarnation};
        for (const Hop &hop : homesOf(flow.flow)) {
            Home &home = homeFor(now, hop);
            home.entries.emplace(flow.flow, entry);
            // What a home has acknowledged already need not be sent again; the digest finds what it lost.
            const auto before = earlier.find(hop.target);
            const bool wasSent = before != earlier.end() && before->second.entries.contains(flow.flow);
            const bool wasAcknowledged =
                wasSent && std::ranges::find(before->second.queue, flow.flow) == before->second.queue.end()
                && (!before->second.outstanding || std::ranges::find(before->second.outstanding->entries, entry) == before->second.outstanding->entries.end());
            if (!wasAcknowledged) {
                home.queue.push_back(flow.flow);
            }
        }
    }
}

// Messages

void DirectoryRegistrar::onRegistered(TargetId home, quint64 batch)
{
    const auto found = m_homes.find(home);
    if (found == m_homes.end() || !found->second.outstanding || found->second.outstanding->number != batch) {
        return;
    }
    found->second.outstanding.reset();
}

void DirectoryRegistrar::resend(TimePoint now, TargetId home)
{
    const auto found = m_homes.find(home);
    if (found == m_homes.end()) {
        return;
    }
    Home &state = found->second;
    state.outstanding.reset();
    state.queue.clear();
    for (const auto &[flow, entry] : state.entries) {
        state.queue.push_back(flow);
    }
    std::ranges::sort(state.queue);
    state.isDigestDue = true;
    state.digestDeadline = now + m_context.settings().directoryRefresh;
}

void DirectoryRegistrar::answerPull(TimePoint now, const Hop &home, AgentActions &actions)
{
    const auto found = m_homes.find(home.target);
    if (found == m_homes.end() || found->second.entries.empty()) {
        // An empty digest tells a restarted home that nothing is missing from this owner.
        m_context.send(home, DirectoryDigest{}, actions);
        return;
    }
    resend(now, home.target);
}

// Time

void DirectoryRegistrar::onTick(TimePoint now, AgentActions &actions)
{
    for (auto &[target, home] : m_homes) {
        if (now >= home.digestDeadline) {
            home.digestDeadline = now + m_context.settings().directoryRefresh;
            home.isDigestDue = !home.entries.empty();
        }
        // Nothing is sent to a peer that is suspected dead; its refutation or restart brings the entries back.
        if (m_context.peers().isSuspected(target)) {
            continue;
        }
        if (home.outstanding) {
            if (now < home.outstanding->deadline) {
                continue;
            }
            home.outstanding->deadline = now + m_context.settings().registerTimeout;
            m_context.send(home.hop, Register{home.outstanding->number, home.outstanding->entries}, actions);
            continue;
        }
        sendNextBatch(now, home, actions);
        if (!home.outstanding && home.isDigestDue) {
            home.isDigestDue = false;
            m_context.send(home.hop, digestFor(home), actions);
        }
    }
}

std::size_t DirectoryRegistrar::unconfirmed() const
{
    std::size_t count = 0;
    for (const auto &[target, home] : m_homes) {
        count += home.queue.size() + (home.outstanding ? home.outstanding->entries.size() : 0);
    }
    return count;
}

std::vector<Hop> DirectoryRegistrar::homesOf(const FlowKey &flow) const
{
    const CandidateTable::Candidates candidates = m_context.candidatesOf(flow);
    const TargetId self = m_context.settings().target;
    std::vector<Hop> homes;
    // The owner of a flow that is its own first home is found without a directory.
    if (candidates[0].target == self || candidates[0].target == TargetId{}) {
        return homes;
    }
    bool isAnySuspected = false;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Hop &candidate = candidates[index];
        const bool isThirdNeeded = index < 2 || isAnySuspected;
        if (candidate.target == TargetId{} || candidate.target == self || !isThirdNeeded) {
            continue;
        }
        isAnySuspected = isAnySuspected || m_context.peers().isSuspected(candidate.target);
        homes.push_back(candidate);
    }
    return homes;
}

DirectoryRegistrar::Home &DirectoryRegistrar::homeFor(TimePoint now, const Hop &hop)
{
    const auto [place, isNew] = m_homes.try_emplace(hop.target);
    place->second.hop = hop;
    if (isNew) {
        place->second.digestDeadline = now + m_context.settings().directoryRefresh;
    }
    return place->second;
}

DirectoryDigest DirectoryRegistrar::digestFor(const Home &home) const
{
    // Only entries for which the home is one of the first two candidates count, as the home itself counts them.
    DirectoryDigest digest;
    for (const auto &[flow, entry] : home.entries) {
        const CandidateTable::Candidates candidates = m_context.candidatesOf(flow);
        if (candidates[0].target != home.hop.target && candidates[1].target != home.hop.target) {
            continue;
        }
        ++digest.count;
        digest.digest ^= FlowDirectory::digestPart(entry);
    }
    return digest;
}

void DirectoryRegistrar::sendNextBatch(TimePoint now, Home &home, AgentActions &actions)
{
    Batch batch;
    while (!home.queue.empty() && batch.entries.size() < Register::maximumEntries) {
        const auto found = home.entries.find(home.queue.front());
        home.queue.pop_front();
        // The flow may have ended, or stand in the queue twice.
        if (found == home.entries.end() || std::ranges::find(batch.entries, found->second) != batch.entries.end()) {
            continue;
        }
        batch.entries.push_back(found->second);
    }
    if (batch.entries.empty()) {
        return;
    }
    batch.number = m_nextBatch++;
    batch.deadline = now + m_context.settings().registerTimeout;
    m_context.send(home.hop, Register{batch.number, batch.entries}, actions);
    home.outstanding = std::move(batch);
}

}
