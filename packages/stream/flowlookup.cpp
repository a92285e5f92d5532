#include "stream/flowlookup.h"

#include <algorithm>

namespace Rattanpick
{

FlowLookup::FlowLookup(const StreamAgentSettings &settings, const TargetDirectory &directory)
    : m_settings(settings)
    , m_directory(directory)
{
}

void FlowLookup::begin(TimePoint now, const FlowKey &flow, const StreamMessage &message, bool includesOwnTarget, StreamActions &actions)
{
    if (const auto found = m_lookups.find(flow); found != m_lookups.end()) {
        // An agent that has not answered may have been down; it gets the later packet as well.
        probe(found->second.outstanding, message, actions);
        return;
    }
    const RouteTablePointer &routes = m_directory.routes();
    const Route *route = routes != nullptr ? routes->findRoute(flow.service) : nullptr;
    if (route == nullptr || m_lookups.size() >= m_settings.lookupLimit || !hasBudget(now)) {
        return;
    }
    Lookup lookup;
    lookup.packet = message.packet;
    lookup.isExhaustive = m_directory.isSettled(now);
    lookup.unlistedDeadline = now + m_settings.unlistedTimeout;
    std::set<TargetId> probed;
    for (const auto &[id, entry] : m_directory.entries()) {
        if (!route->usesService(entry.target.service)) {
            continue;
        }
        const bool isOwn = entry.target.address == m_settings.target;
        if (!isOwn) {
            probed.insert(id);
        }
        if (entry.isPresent()) {
            if (!isOwn || includesOwnTarget) {
                lookup.outstanding.insert(id);
            }
        } else if (!isOwn && m_directory.findAt(entry.target.address) == nullptr) {
            lookup.unlisted.insert(id);
        }
    }
    m_budget -= static_cast<double>(probed.size());
    probe(probed, message, actions);
    m_deadlines.emplace_back(now + m_settings.lookupTimeout, flow);
    m_lookups.emplace(flow, std::move(lookup));
}

void FlowLookup::probe(const std::set<TargetId> &targets, const StreamMessage &message, StreamActions &actions) const
{
    for (const TargetId target : targets) {
        const TargetDirectory::Entry *entry = m_directory.find(target);
        if (entry == nullptr || entry->target.address == m_settings.target) {
            continue;
        }
        StreamMessage probe;
        probe.kind = StreamMessageKind::Probe;
        probe.hopCount = static_cast<quint8>(message.hopCount + 1);
        probe.configurationVersion = m_directory.routes()->version();
        probe.sender = m_settings.endpoint;
        probe.balancer = message.balancer;
        probe.service = entry->target.service;
        probe.target = target;
        probe.incarnation = entry->target.incarnation;
        probe.packet = message.packet;
        actions.emplace_back(SendStreamMessage{entry->agent, std::move(probe)});
    }
}

bool FlowLookup::hasBudget(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_budgetAt).count();
    m_budget = std::min(m_settings.lookupProbeBurst, m_budget + elapsed * m_settings.lookupProbesPerSecond);
    m_budgetAt = now;
    return m_budget > 0;
}

FlowLookup::Outcome FlowLookup::onNotHeld(TimePoint now, const FlowKey &flow, TargetId target, bool isUnsettled)
{
    const auto found = m_lookups.find(flow);
    if (found == m_lookups.end()) {
        return Outcome::Found;
    }
    Lookup &lookup = found->second;
    lookup.outstanding.erase(target);
    lookup.unlisted.erase(target);
    lookup.isExhaustive = lookup.isExhaustive && !isUnsettled;
    if (!isConclusive(now, lookup)) {
        return Outcome::Pending;
    }
    // A machine that is gone never answers, and its flows are lost; a live one answers before this deadline.
    if (!lookup.unlisted.empty() && now < lookup.unlistedDeadline) {
        m_unlistedDeadlines.emplace_back(lookup.unlistedDeadline, flow);
        return Outcome::Pending;
    }
    return Outcome::NotHeldByAny;
}

bool FlowLookup::isConclusive(TimePoint now, const Lookup &lookup) const
{
    return lookup.outstanding.empty() && lookup.isExhaustive && m_directory.isSettled(now);
}

std::vector<FlowKey> FlowLookup::takeUnheldFlows(TimePoint now)
{
    std::vector<FlowKey> unheld;
    while (!m_unlistedDeadlines.empty() && now >= m_unlistedDeadlines.front().first) {
        const FlowKey flow = m_unlistedDeadlines.front().second;
        m_unlistedDeadlines.pop_front();
        const auto found = m_lookups.find(flow);
        if (found != m_lookups.end() && isConclusive(now, found->second)) {
            unheld.push_back(flow);
        }
    }
    return unheld;
}

QByteArray FlowLookup::packetOf(const FlowKey &flow) const
{
    const auto found = m_lookups.find(flow);
    return found != m_lookups.end() ? found->second.packet : QByteArray();
}

void FlowLookup::end(const FlowKey &flow)
{
    m_lookups.erase(flow);
}

void FlowLookup::onTick(TimePoint now, StreamActions &actions)
{
    while (!m_deadlines.empty() && now >= m_deadlines.front().first) {
        const auto found = m_lookups.find(m_deadlines.front().second);
        m_deadlines.pop_front();
        if (found == m_lookups.end()) {
            continue;
        }
        QStringList silent;
        for (const TargetId target : found->second.outstanding) {
            const TargetDirectory::Entry *entry = m_directory.find(target);
            silent.append(entry != nullptr ? entry->target.name : QStringLiteral("?"));
        }
        const QString reason =
            silent.isEmpty() ? QStringLiteral("reason=directory-unsettled") : QStringLiteral("reason=no-answer targets=") + silent.join(QLatin1Char(','));
        actions.emplace_back(RecordStreamEvent{EventNumber::FlowSearchFailed, found->first, reason});
        m_lookups.erase(found);
    }
}

}
