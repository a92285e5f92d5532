#include "agent/openingplacer.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace Rattanpick
{

namespace
{

/// Assumed load of one new flow, added to a candidate's load until the candidate reports its load again.
constexpr int expectedLoadOfFlowPermille = 10;

}

OpeningPlacer::OpeningPlacer(AgentContext &context, PlacementHost &host)
    : m_context(context)
    , m_host(host)
{
}

// Openings

void OpeningPlacer::place(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions)
{
    const Key key{flow, nonce};
    RP_ASSERT(!m_pending.contains(key));
    if (m_pending.size() >= m_context.settings().pendingOpenings) {
        actions.emplace_back(CountDrop{DropReason::QueueFull});
        return;
    }

    requestLoads(now, flow, actions);
    Pending &pending = m_pending[key];
    for (const Hop &homeAgent : earlierHomeAgentsOf(flow)) {
        pending.awaited.insert(homeAgent.target);
        m_context.send(homeAgent, FlowQuery{flow, nonce}, actions);
    }
    pending.deadline = now + m_context.settings().queryTimeout;

    // A suspected first candidate may still be alive: it is queried, with a short timeout if it is the only one.
    const CandidateTable::Candidates candidates = m_context.candidatesOf(flow);
    const bool isActingHomeAgent = candidates[0].target != m_context.settings().target && candidates[0].target != TargetId{};
    if (isActingHomeAgent && !pending.awaited.contains(candidates[0].target)) {
        pending.mayProceed = pending.awaited.empty();
        pending.awaited.insert(candidates[0].target);
        m_context.send(candidates[0], FlowQuery{flow, nonce}, actions);
        if (pending.mayProceed) {
            pending.deadline = now + m_context.settings().suspectQueryTimeout;
        }
    }

    if (pending.awaited.empty()) {
        startOffering(now, key, actions);
    }
}

bool OpeningPlacer::isPending(const FlowKey &flow, quint64 nonce) const
{
    return m_pending.contains({flow, nonce});
}

RefusalReason OpeningPlacer::recentRefusal(const FlowKey &flow, quint64 nonce) const
{
    const auto found = m_refusals.find({flow, nonce});
    return found != m_refusals.end() ? found->second.reason : RefusalReason::None;
}

void OpeningPlacer::setOldestKnownVersion(const ConfigurationVersion &version)
{
    m_oldestKnownVersion = version;
}

// Messages

void OpeningPlacer::onFlowReply(TimePoint now, TargetId from, const FlowReply &reply, AgentActions &actions)
{
    const Key key{reply.entry.flow, reply.entry.nonce};
    const auto found = m_pending.find(key);
    if (found == m_pending.end() || found->second.isOffering) {
        return;
    }
    if (reply.isKnown) {
        // The flow was opened under another table; its owner repeats Opened when the caller repeats Open.
        m_host.recordOwner(now, reply.entry);
        m_pending.erase(found);
        return;
    }
    found->second.awaited.erase(from);
    if (found->second.awaited.empty()) {
        startOffering(now, key, actions);
    }
}

bool OpeningPlacer::onAccepted(TimePoint now, const Hop &from, const Accepted &accepted, AgentActions &actions)
{
    const auto found = m_pending.find({accepted.flow, accepted.nonce});
    if (found == m_pending.end() || !found->second.isOffering || found->second.offeredTo.target != from.target) {
        return false;
    }
    m_pending.erase(found);
    m_context.peers().addExpectedLoad(from.target, expectedLoadOfFlowPermille);
    m_host.confirmOwner(now, DirectoryEntry{accepted.flow, accepted.nonce, from, accepted.flowIncarnation}, actions);
    return true;
}

void OpeningPlacer::onDeclined(TimePoint now, TargetId from, const Declined &declined, AgentActions &actions)
{
    const Key key{declined.flow, declined.nonce};
    const auto found = m_pending.find(key);
    if (found == m_pending.end() || !found->second.isOffering || found->second.offeredTo.target != from) {
        return;
    }
    found->second.lastReason = declined.reason;
    tryNextCandidate(now, key, actions);
}

// Time

void OpeningPlacer::onTick(TimePoint now, AgentActions &actions)
{
    std::vector<Key> late;
    for (const auto &[key, pending] : m_pending) {
        if (now >= pending.deadline) {
            late.push_back(key);
        }
    }
    for (const Key &key : late) {
        onDeadline(now, key, actions);
    }
    std::erase_if(m_refusals, [now](const auto &item) { return item.second.deadline <= now; });
}

void OpeningPlacer::onDeadline(TimePoint now, const Key &key, AgentActions &actions)
{
    Pending &pending = m_pending.at(key);
    if (!pending.isOffering) {
        // Peers that have become suspected in the meantime are not waited for.
        const bool areAllSuspected = std::ranges::all_of(
            pending.awaited, [this](TargetId target) { return m_context.peers().isSuspected(target) || m_context.peers().isListedGone(target); });
        if (pending.mayProceed || areAllSuspected) {
            startOffering(now, key, actions);
            return;
        }
        m_pending.erase(key);
        actions.emplace_back(CountDrop{DropReason::NotPlaced});
        return;
    }
    if (pending.attempts < m_context.settings().offerAttempts) {
        sendOffer(now, key, pending, actions);
        return;
    }
    m_context.send(pending.offeredTo, Withdraw{key.first, key.second}, actions);
    pending.lastReason = RefusalReason::TargetTimeout;
    tryNextCandidate(now, key, actions);
}

std::vector<Hop> OpeningPlacer::earlierHomeAgentsOf(const FlowKey &flow) const
{
    std::vector<Hop> homeAgents;
    const TargetId self = m_context.settings().target;
    const auto append = [&](const Hop &hop, const ConfigurationVersion &version) {
        const PeerView &peers = m_context.peers();
        const bool isCertain = hop.target == self || hop.target == TargetId{} || peers.hasReached(hop.target, version);
        if (isCertain || peers.isListedGone(hop.target) || peers.isSuspected(hop.target) || std::ranges::find(homeAgents, hop) != homeAgents.end()) {
            return;
        }
        homeAgents.push_back(hop);
    };

    const auto *generations = m_context.tables().generations(m_context.settings().service);
    if (!generations) {
        return homeAgents;
    }
    for (const ServiceTables::Generation &generation : *generations) {
        if (generation.table.get() == m_context.tables().current(m_context.settings().service)) {
            continue;
        }
        append(generation.table->candidatesOf(flow)[0], m_context.version());
    }
    // Under a version that this process skipped, or that was in force before it started, any peer with an older version
    // may be the home agent.
    for (const Target *target : m_context.configuration()->targetsOf(m_context.settings().service)) {
        if (homeAgents.size() >= unknownHomeAgentLimit) {
            break;
        }
        append({target->id, target->agent}, m_oldestKnownVersion);
    }
    return homeAgents;
}

void OpeningPlacer::requestLoads(TimePoint now, const FlowKey &flow, AgentActions &actions)
{
    // In a large service heartbeats reach only a few agents, so a home agent requests the load of the candidates of
    // those buckets that receive openings.
    for (const Hop &hop : m_context.candidatesOf(flow)) {
        const bool isOther = hop.target != TargetId{} && hop.target != m_context.settings().target;
        if (!isOther || m_context.peers().isSuspected(hop.target) || !m_context.peers().needsLoad(now, hop.target)) {
            continue;
        }
        m_context.peers().setLoadAsked(now, hop.target);
        m_context.send(hop, Heartbeat{false, 0}, actions);
    }
}

std::vector<Hop> OpeningPlacer::orderedCandidates(TimePoint now, const FlowKey &flow)
{
    struct Candidate
    {
        Hop hop;
        int load = 0;
    };
    const TargetId self = m_context.settings().target;
    const int ownLoad = m_context.loadPermille();
    std::vector<Candidate> candidates;
    for (const Hop &hop : m_context.candidatesOf(flow)) {
        if (hop.target == TargetId{} || (hop.target != self && m_context.peers().isSuspected(hop.target))) {
            continue;
        }
        // An unknown load counts as this agent's own load, so that a silent peer is not preferred.
        const int load = hop.target == self ? ownLoad : m_context.peers().loadOf(now, hop.target).value_or(ownLoad);
        // The margin keeps flows at their home agent unless another candidate is clearly less loaded.
        candidates.push_back({hop, hop.target == self ? load : load + m_context.settings().loadMarginPermille});
    }
    std::ranges::stable_sort(candidates, {}, &Candidate::load);
    std::vector<Hop> ordered;
    ordered.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        ordered.push_back(candidate.hop);
    }
    return ordered;
}

void OpeningPlacer::startOffering(TimePoint now, const Key &key, AgentActions &actions)
{
    Pending &pending = m_pending.at(key);
    pending.isOffering = true;
    pending.awaited.clear();
    pending.candidates = orderedCandidates(now, key.first);
    pending.nextCandidate = 0;
    tryNextCandidate(now, key, actions);
}

void OpeningPlacer::tryNextCandidate(TimePoint now, const Key &key, AgentActions &actions)
{
    Pending &pending = m_pending.at(key);
    while (pending.nextCandidate < pending.candidates.size()) {
        const Hop candidate = pending.candidates[pending.nextCandidate++];
        if (candidate.target != m_context.settings().target) {
            pending.offeredTo = candidate;
            pending.attempts = 0;
            sendOffer(now, key, pending, actions);
            return;
        }
        const RefusalReason reason = m_host.admissionRefusal(now);
        if (reason == RefusalReason::None) {
            m_pending.erase(key);
            m_host.acceptFlow(now, key.first, key.second, actions);
            return;
        }
        pending.lastReason = reason;
    }
    refuse(now, key, pending.lastReason, actions);
}

void OpeningPlacer::sendOffer(TimePoint now, const Key &key, Pending &pending, AgentActions &actions)
{
    ++pending.attempts;
    pending.deadline = now + m_context.settings().offerTimeout;
    m_context.send(pending.offeredTo, Offer{key.first, key.second}, actions);
}

void OpeningPlacer::refuse(TimePoint now, const Key &key, RefusalReason reason, AgentActions &actions)
{
    m_pending.erase(key);
    m_refusals[key] = {reason, now + m_context.settings().refusalRetention};
    actions.emplace_back(SendToCaller{key.first, Refused{key.second, 0, reason, Outcome::NotOpened}});
    AgentContext::record(EventNumber::FlowRefused, key.first, QStringLiteral("no candidate accepts the flow"), actions);
}

}
