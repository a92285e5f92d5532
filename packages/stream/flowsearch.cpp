#include "stream/flowsearch.h"

#include <algorithm>

namespace Rattanpick
{

FlowSearch::FlowSearch(const StreamAgentSettings &settings, const TargetDirectory &directory)
    : m_settings(settings)
    , m_directory(directory)
{
}

void FlowSearch::begin(TimePoint now, const FlowKey &flow, const StreamMessage &message, bool isOwnAsked, StreamActions &actions)
{
    if (const auto found = m_searches.find(flow); found != m_searches.end()) {
        // An agent that has not answered may have been away; it gets the later packet too.
        probe(found->second.outstanding, message, actions);
        return;
    }
    const RouteTablePointer &routes = m_directory.routes();
    const Route *route = routes != nullptr ? routes->findRoute(flow.service) : nullptr;
    if (route == nullptr || m_searches.size() >= m_settings.searchLimit || !hasBudget(now)) {
        return;
    }
    Search search;
    search.packet = message.packet;
    search.isExhaustive = m_directory.isSettled(now);
    search.unlistedDeadline = now + m_settings.unlistedTimeout;
    std::set<TargetId> asked;
    for (const auto &[id, entry] : m_directory.entries()) {
        if (!route->leadsTo(entry.target.service)) {
            continue;
        }
        const bool isOwn = entry.target.address == m_settings.target;
        if (!isOwn) {
            asked.insert(id);
        }
        if (entry.isPresent()) {
            if (!isOwn || isOwnAsked) {
                search.outstanding.insert(id);
            }
        } else if (!isOwn && m_directory.findAt(entry.target.address) == nullptr) {
            search.unlisted.insert(id);
        }
    }
    m_budget -= static_cast<double>(asked.size());
    probe(asked, message, actions);
    m_deadlines.emplace_back(now + m_settings.searchTimeout, flow);
    m_searches.emplace(flow, std::move(search));
}

void FlowSearch::probe(const std::set<TargetId> &targets, const StreamMessage &message, StreamActions &actions) const
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

bool FlowSearch::hasBudget(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_budgetAt).count();
    m_budget = std::min(m_settings.searchProbesAtOnce, m_budget + elapsed * m_settings.searchProbesPerSecond);
    m_budgetAt = now;
    return m_budget > 0;
}

FlowSearch::Outcome FlowSearch::onNotHeld(TimePoint now, const FlowKey &flow, TargetId target, bool isUnsettled)
{
    const auto found = m_searches.find(flow);
    if (found == m_searches.end()) {
        return Outcome::Found;
    }
    Search &search = found->second;
    search.outstanding.erase(target);
    search.unlisted.erase(target);
    search.isExhaustive = search.isExhaustive && !isUnsettled;
    if (!isDenied(now, search)) {
        return Outcome::Pending;
    }
    // A machine that is gone never answers, and its flows are over; a living one answers within this time.
    if (!search.unlisted.empty() && now < search.unlistedDeadline) {
        m_verdicts.emplace_back(search.unlistedDeadline, flow);
        return Outcome::Pending;
    }
    return Outcome::HeldByNone;
}

bool FlowSearch::isDenied(TimePoint now, const Search &search) const
{
    return search.outstanding.empty() && search.isExhaustive && m_directory.isSettled(now);
}

std::vector<FlowKey> FlowSearch::takeDenied(TimePoint now)
{
    std::vector<FlowKey> denied;
    while (!m_verdicts.empty() && now >= m_verdicts.front().first) {
        const FlowKey flow = m_verdicts.front().second;
        m_verdicts.pop_front();
        const auto found = m_searches.find(flow);
        if (found != m_searches.end() && isDenied(now, found->second)) {
            denied.push_back(flow);
        }
    }
    return denied;
}

QByteArray FlowSearch::packetOf(const FlowKey &flow) const
{
    const auto found = m_searches.find(flow);
    return found != m_searches.end() ? found->second.packet : QByteArray();
}

void FlowSearch::end(const FlowKey &flow)
{
    m_searches.erase(flow);
}

void FlowSearch::onTick(TimePoint now, StreamActions &actions)
{
    while (!m_deadlines.empty() && now >= m_deadlines.front().first) {
        const auto found = m_searches.find(m_deadlines.front().second);
        m_deadlines.pop_front();
        if (found == m_searches.end()) {
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
        m_searches.erase(found);
    }
}

}
