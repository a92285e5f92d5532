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
        found->second.balancer = message.balancer;
        if (found->second.waiting.size() < m_settings.searchQueueLimit) {
            found->second.waiting.push_back(message.packet);
        }
        return;
    }
    const RouteTablePointer &routes = m_directory.routes();
    const Route *route = routes != nullptr ? routes->findRoute(flow.service) : nullptr;
    if (route == nullptr || m_searches.size() >= m_settings.searchLimit) {
        return;
    }
    Search search;
    search.balancer = message.balancer;
    search.packet = message.packet;
    search.isExhaustive = m_directory.isSettled(now);
    for (const auto &[id, entry] : m_directory.entries()) {
        const bool isOfRoute = std::ranges::any_of(route->shares, [&entry](const ServiceShare &share) { return share.service == entry.target.service; });
        if (!isOfRoute) {
            continue;
        }
        if (entry.target.address == m_settings.target) {
            if (isOwnAsked && entry.isPresent()) {
                search.outstanding.insert(id);
            }
            continue;
        }
        // A machine that is gone never answers; its entry has vanished for good and its flows are over.
        if (entry.isPresent()) {
            search.outstanding.insert(id);
        }
        StreamMessage probe;
        probe.kind = StreamMessageKind::Probe;
        probe.hopCount = static_cast<quint8>(message.hopCount + 1);
        probe.configurationVersion = routes->version();
        probe.sender = m_settings.endpoint;
        probe.balancer = message.balancer;
        probe.service = entry.target.service;
        probe.target = id;
        probe.incarnation = entry.target.incarnation;
        probe.packet = message.packet;
        actions.emplace_back(SendStreamMessage{entry.agent, std::move(probe)});
    }
    m_deadlines.emplace_back(now + m_settings.searchTimeout, flow);
    m_searches.emplace(flow, std::move(search));
}

void FlowSearch::onHeld(const FlowKey &flow, const StreamMessage &answer, StreamActions &actions)
{
    const auto found = m_searches.find(flow);
    if (found == m_searches.end()) {
        return;
    }
    for (QByteArray &packet : found->second.waiting) {
        StreamMessage message;
        message.kind = StreamMessageKind::Deliver;
        message.hopCount = 1;
        message.configurationVersion = m_directory.routes() != nullptr ? m_directory.routes()->version() : 0;
        message.sender = m_settings.endpoint;
        message.balancer = found->second.balancer;
        message.service = answer.service;
        message.target = answer.target;
        message.incarnation = answer.incarnation;
        message.packet = std::move(packet);
        actions.emplace_back(SendStreamMessage{answer.sender, std::move(message)});
    }
    m_searches.erase(found);
}

FlowSearch::Outcome FlowSearch::onNotHeld(TimePoint now, const FlowKey &flow, TargetId target)
{
    const auto found = m_searches.find(flow);
    if (found == m_searches.end()) {
        return Outcome::Found;
    }
    found->second.outstanding.erase(target);
    const bool isDenied = found->second.outstanding.empty() && found->second.isExhaustive && m_directory.isSettled(now);
    return isDenied ? Outcome::HeldByNone : Outcome::Pending;
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
            silent.isEmpty() ? QStringLiteral("the directory is not settled") : QStringLiteral("no answer from ") + silent.join(QLatin1Char(' '));
        actions.emplace_back(RecordStreamEvent{EventNumber::FlowSearchFailed, found->first, reason});
        m_searches.erase(found);
    }
}

}
