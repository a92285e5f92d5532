#include "stream/flowlookup.h"

#include <algorithm>

namespace Rattanpick
{

FlowLookup::FlowLookup(const StreamAgentSettings &settings, const TargetDirectory &directory)
    : m_settings(settings)
    , m_directory(directory)
    , m_silentAgents(settings.silentAgents)
{
}

// Rounds

void FlowLookup::request(TimePoint now,
                         const FlowKey &flow,
                         const FlowPosition &position,
                         const StreamMessage &message,
                         bool isDeniedByOwnTarget,
                         StreamActions &actions)
{
    auto found = m_lookups.find(flow);
    if (found != m_lookups.end() && !found->second.position.fits(position)) {
        // The denials are about an earlier flow between these endpoints.
        m_lookups.erase(found);
        found = m_lookups.end();
    }
    if (found == m_lookups.end()) {
        if (m_lookups.size() >= m_settings.lookupLimit) {
            actions.emplace_back(RecordStreamEvent{EventNumber::FlowSearchFailed, flow, QStringLiteral("reason=too-many-lookups")});
            return;
        }
        found = m_lookups.emplace(flow, Lookup{}).first;
        m_retentionChecks.emplace_back(now + m_settings.lookupRetention, flow);
    }
    Lookup &lookup = found->second;
    lookup.position = position;
    lookup.message = message;
    lookup.packetDeadline = now + m_settings.callerRepeatLimit;
    lookup.isDeniedByOwnTarget = lookup.isDeniedByOwnTarget || isDeniedByOwnTarget;
    enqueue(flow, lookup);
}

void FlowLookup::enqueue(const FlowKey &flow, Lookup &lookup)
{
    if (!lookup.isWaiting) {
        lookup.isWaiting = true;
        m_waiting.push_back(flow);
    }
}

std::optional<FlowLookup::Round> FlowLookup::takeRound(TimePoint now, StreamActions &actions)
{
    while (!m_waiting.empty() && hasBudget(now)) {
        const FlowKey flow = m_waiting.front();
        m_waiting.pop_front();
        const auto found = m_lookups.find(flow);
        if (found == m_lookups.end() || !found->second.isWaiting) {
            continue;
        }
        Lookup &lookup = found->second;
        lookup.isWaiting = false;
        const RouteTablePointer &routes = m_directory.routes();
        if (now >= lookup.packetDeadline || routes == nullptr || routes->findRoute(flow.service) == nullptr) {
            continue;
        }
        beginRound(now, flow, lookup, actions);
        return Round{flow, lookup.message, !lookup.isDeniedByOwnTarget};
    }
    return std::nullopt;
}

void FlowLookup::beginRound(TimePoint now, const FlowKey &flow, Lookup &lookup, StreamActions &actions)
{
    // While the former services of the route are not known, the flow may be held by a target of any service.
    lookup.asksAllServices = !m_directory.routeHistory().isComplete(now);
    lookup.historyGeneration = m_directory.routeHistory().generation();
    lookup.outstanding.clear();
    lookup.unlisted.clear();
    lookup.uncertain.clear();
    lookup.isOwnTargetUncertain = false;
    lookup.isDirectorySettled = m_directory.isSettled(now);
    lookup.roundDeadline = now + m_settings.lookupTimeout;
    lookup.unlistedDeadline = now + m_settings.unlistedTimeout;
    m_roundDeadlines.emplace_back(lookup.roundDeadline, flow);
    for (const auto &[id, entry] : m_directory.entries()) {
        const bool isOwn = entry.target.address == m_settings.target;
        if (isOwn || entry.agent.isNull() || entry.isGone() || lookup.denied.contains(id)) {
            continue;
        }
        const bool isServiceAllowed = m_directory.mayHoldFlows(flow.service, entry.target.service);
        if (!isServiceAllowed && !lookup.asksAllServices) {
            continue;
        }
        // The search takes time in the number of targets, so that it is made for the few entries that are not present only.
        const TargetDirectory::Entry *successor = entry.isPresent() ? nullptr : m_directory.findAt(entry.target.address);
        if (successor != nullptr && successor->target.service == entry.target.service) {
            // Its agent is asked on behalf of the target that has the address now.
            continue;
        }
        // An address may have entries of several writers. The latest one does not answer for a target of another service.
        if (entry.isUsable()) {
            lookup.outstanding.insert(id);
        } else if (successor == nullptr) {
            lookup.unlisted.insert(id);
        }
        // The agent of an address that has another target now denies the earlier one.
        if (sendProbe(now, lookup, entry, isServiceAllowed, actions)) {
            m_budget -= 1;
        }
    }
}

bool FlowLookup::sendProbe(TimePoint now, const Lookup &lookup, const TargetDirectory::Entry &entry, bool isServiceAllowed, StreamActions &actions)
{
    // The silence of an unlisted target ends the lookup, so that its agent is always asked.
    if (!entry.isPresent()) {
        m_silentAgents.recordProbe(now, entry.agent);
    } else if (!m_silentAgents.admitProbe(now, entry.agent)) {
        return false;
    }
    StreamMessage probe;
    probe.kind = StreamMessageKind::Probe;
    probe.hopCount = static_cast<quint8>(lookup.message.hopCount + 1);
    probe.configurationVersion = m_directory.routes()->version();
    probe.sender = m_settings.endpoint;
    probe.balancer = lookup.message.balancer;
    probe.service = entry.target.service;
    probe.target = entry.target.id;
    probe.incarnation = entry.target.incarnation;
    probe.isServiceAllowed = isServiceAllowed;
    probe.packet = lookup.message.packet;
    actions.emplace_back(SendStreamMessage{entry.agent, std::move(probe)});
    return true;
}

bool FlowLookup::hasBudget(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_budgetAt).count();
    m_budget = std::min(m_settings.lookupProbeBurst, m_budget + elapsed * m_settings.lookupProbesPerSecond);
    m_budgetAt = now;
    return m_budget > 0;
}

// Denials

FlowLookup::Outcome FlowLookup::onNotHeld(TimePoint now, const StreamMessage &denial)
{
    const FlowKey &flow = denial.flow;
    const auto found = m_lookups.find(flow);
    if (found == m_lookups.end()) {
        return Outcome::Pending;
    }
    Lookup &lookup = found->second;
    if (denial.isUncertain) {
        lookup.uncertain.insert_or_assign(denial.target, denial.service);
    } else {
        lookup.denied.insert(denial.target);
    }
    lookup.outstanding.erase(denial.target);
    lookup.unlisted.erase(denial.target);
    if (denial.knowsAllTargets) {
        lookup.informedAgent = denial.sender;
    }
    if (denial.isUnsettled) {
        // By then the directory contains the entries that the agent has a record of.
        lookup.exhaustiveAfter = now + m_settings.unsettledTime;
    }
    return conclude(now, flow, lookup);
}

FlowLookup::Outcome FlowLookup::onNotHeldByOwnTarget(TimePoint now, const FlowKey &flow, bool isUncertain)
{
    const auto found = m_lookups.find(flow);
    if (found == m_lookups.end()) {
        return Outcome::Pending;
    }
    found->second.isOwnTargetUncertain = isUncertain;
    found->second.isDeniedByOwnTarget = found->second.isDeniedByOwnTarget || !isUncertain;
    return conclude(now, flow, found->second);
}

FlowLookup::Outcome FlowLookup::conclude(TimePoint now, const FlowKey &flow, const Lookup &lookup)
{
    if (now >= lookup.roundDeadline) {
        return Outcome::Pending;
    }
    if (!isConclusive(now, flow, lookup)) {
        const bool hasDenials = lookup.outstanding.empty() && lookup.unlisted.empty() && (lookup.isDeniedByOwnTarget || lookup.isOwnTargetUncertain);
        return hasDenials && !knowsAllTargets(now) && !lookup.informedAgent.isNull() ? Outcome::KnownElsewhere : Outcome::Pending;
    }
    // A machine that is gone never answers, and its flows are lost; a live one answers before this deadline, unless its agent
    // is being restarted.
    if (!lookup.unlisted.empty() && now < lookup.unlistedDeadline) {
        m_unlistedDeadlines.emplace_back(lookup.unlistedDeadline, flow);
        return Outcome::Pending;
    }
    return areUnlistedGone(now, lookup) ? Outcome::NotHeldByAny : Outcome::Pending;
}

bool FlowLookup::isExcluded(TimePoint now, const FlowKey &flow, ServiceId service) const
{
    return m_directory.routeHistory().isComplete(now) && !m_directory.mayHoldFlows(flow.service, service);
}

bool FlowLookup::isConclusive(TimePoint now, const FlowKey &flow, const Lookup &lookup) const
{
    // A service that has become known since the round began was not asked.
    const bool hasAskedAll = lookup.asksAllServices || lookup.historyGeneration == m_directory.routeHistory().generation();
    const bool isOwnTargetExcluded = lookup.isOwnTargetUncertain && isExcluded(now, flow, m_settings.service);
    const bool isCertain = (lookup.isDeniedByOwnTarget || isOwnTargetExcluded)
                           && std::ranges::all_of(lookup.uncertain, [this, now, &flow](const auto &item) { return isExcluded(now, flow, item.second); });
    return isCertain && hasAskedAll && lookup.outstanding.empty() && lookup.isDirectorySettled && now >= lookup.exhaustiveAfter && knowsAllPresentTargets(now);
}

bool FlowLookup::hasLatestRoutes() const
{
    const RouteTablePointer &routes = m_directory.routes();
    return routes != nullptr && routes->version() >= m_latestVersion;
}

bool FlowLookup::knowsAllTargets(TimePoint now) const
{
    return m_directory.routeHistory().isComplete(now) && knowsAllPresentTargets(now);
}

bool FlowLookup::knowsAllPresentTargets(TimePoint now) const
{
    // A complete read of the directory lacks the targets that live without an entry; their agents announce them to the
    // listed ones.
    return hasLatestRoutes() && m_directory.hasAllTargets(now) && m_directory.isListed(m_settings.target);
}

bool FlowLookup::areUnlistedGone(TimePoint now, const Lookup &lookup) const
{
    return std::ranges::all_of(lookup.unlisted, [this, now](TargetId target) {
        const TargetDirectory::Entry *entry = m_directory.find(target);
        return entry == nullptr || m_silentAgents.isGone(now, entry->agent);
    });
}

std::vector<FlowKey> FlowLookup::takeUnheldFlows(TimePoint now)
{
    std::vector<FlowKey> unheld;
    while (!m_unlistedDeadlines.empty() && now >= m_unlistedDeadlines.front().first) {
        const FlowKey flow = m_unlistedDeadlines.front().second;
        m_unlistedDeadlines.pop_front();
        const auto found = m_lookups.find(flow);
        if (found != m_lookups.end() && now >= found->second.unlistedDeadline && isConclusive(now, flow, found->second)
            && areUnlistedGone(now, found->second)) {
            unheld.push_back(flow);
        }
    }
    return unheld;
}

// Agents and lifetime

std::vector<std::pair<FlowKey, FlowLookup::Outcome>> FlowLookup::onTargetEnded(TimePoint now)
{
    std::vector<std::pair<FlowKey, Outcome>> outcomes;
    for (auto &[flow, lookup] : m_lookups) {
        const std::size_t erased = std::erase_if(lookup.unlisted, [this](TargetId target) {
            const TargetDirectory::Entry *entry = m_directory.find(target);
            return entry != nullptr && entry->isGone();
        });
        if (erased > 0) {
            outcomes.emplace_back(flow, conclude(now, flow, lookup));
        }
    }
    return outcomes;
}

void FlowLookup::onAgentMessage(TimePoint now, const Endpoint &agent)
{
    if (!m_silentAgents.onMessage(agent)) {
        return;
    }
    for (auto &[flow, lookup] : m_lookups) {
        const auto isAtAgent = [this, &agent](TargetId target) {
            const TargetDirectory::Entry *entry = m_directory.find(target);
            return entry != nullptr && entry->agent == agent;
        };
        if (now >= lookup.packetDeadline) {
            continue;
        }
        if (std::ranges::any_of(lookup.outstanding, isAtAgent) || std::ranges::any_of(lookup.unlisted, isAtAgent)) {
            enqueue(flow, lookup);
        }
    }
}

QByteArray FlowLookup::packetOf(const FlowKey &flow) const
{
    const auto found = m_lookups.find(flow);
    return found != m_lookups.end() ? found->second.message.packet : QByteArray();
}

SendStreamMessage FlowLookup::handOver(const FlowKey &flow) const
{
    const Lookup &lookup = m_lookups.at(flow);
    StreamMessage message = lookup.message;
    message.kind = StreamMessageKind::Locate;
    message.configurationVersion = std::max(message.configurationVersion, m_latestVersion);
    ++message.hopCount;
    message.sender = m_settings.endpoint;
    message.candidates.clear();
    return {lookup.informedAgent, std::move(message)};
}

QString FlowLookup::describe(TimePoint now, const FlowKey &flow) const
{
    const auto found = m_lookups.find(flow);
    if (found == m_lookups.end()) {
        return QStringLiteral("denied=0");
    }
    const auto listAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_directory.completionTime().value_or(now));
    const auto followed = std::chrono::duration_cast<std::chrono::milliseconds>(m_directory.routeHistory().followedFor(now));
    return QStringLiteral("denied=%1 unlisted-gone=%2 list-age-ms=%3 routes-followed-ms=%4")
        .arg(found->second.denied.size())
        .arg(found->second.unlisted.size())
        .arg(listAge.count())
        .arg(followed.count());
}

void FlowLookup::end(const FlowKey &flow)
{
    m_lookups.erase(flow);
}

void FlowLookup::onTick(TimePoint now, StreamActions &actions)
{
    while (!m_roundDeadlines.empty() && now >= m_roundDeadlines.front().first) {
        const auto [deadline, flow] = m_roundDeadlines.front();
        m_roundDeadlines.pop_front();
        const auto found = m_lookups.find(flow);
        if (found == m_lookups.end() || found->second.roundDeadline != deadline) {
            continue;
        }
        QStringList silent;
        for (const auto &targets : {found->second.outstanding, found->second.unlisted}) {
            for (const TargetId target : targets) {
                const TargetDirectory::Entry *entry = m_directory.find(target);
                silent.append(entry != nullptr ? entry->target.name : QStringLiteral("?"));
            }
        }
        QString reason = QStringLiteral("reason=directory-unsettled");
        if (!silent.isEmpty()) {
            reason = QStringLiteral("reason=no-answer targets=") + silent.join(QLatin1Char(','));
        } else if (found->second.isOwnTargetUncertain || !found->second.uncertain.empty()) {
            reason = QStringLiteral("reason=former-services-unknown uncertain=%1").arg(found->second.uncertain.size());
        }
        actions.emplace_back(RecordStreamEvent{EventNumber::FlowSearchFailed, flow, reason});
    }
    while (!m_retentionChecks.empty() && now >= m_retentionChecks.front().first) {
        const FlowKey flow = m_retentionChecks.front().second;
        m_retentionChecks.pop_front();
        const auto found = m_lookups.find(flow);
        if (found == m_lookups.end()) {
            continue;
        }
        if (now < found->second.packetDeadline + m_settings.lookupRetention) {
            m_retentionChecks.emplace_back(now + m_settings.lookupRetention, flow);
            continue;
        }
        m_lookups.erase(found);
    }
}

TimePoint FlowLookup::nextDeadline() const
{
    TimePoint next = m_unlistedDeadlines.empty() ? TimePoint::max() : m_unlistedDeadlines.front().first;
    if (!m_waiting.empty()) {
        const std::chrono::duration<double> missing(std::max(0.0, -m_budget) / m_settings.lookupProbesPerSecond);
        next = std::min(next, m_budgetAt + std::chrono::ceil<std::chrono::milliseconds>(missing) + 1ms);
    }
    return next;
}

}
