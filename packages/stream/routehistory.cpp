#include "stream/routehistory.h"

#include <algorithm>

namespace Rattanpick
{

RouteHistory::RouteHistory(const RouteHistorySettings &settings)
    : m_settings(settings)
{
}

void RouteHistory::onRoutes(TimePoint now, const RouteTable *previous, const RouteTable &next, bool isGapless)
{
    if (previous == nullptr) {
        m_followedSince = std::min(m_followedSince.value_or(now), m_settings.isInitialStart ? now - m_settings.maximumFlowAge : now);
        return;
    }
    addFormer(now, *previous, next);
    if (!isGapless) {
        onGap(now);
    }
}

void RouteHistory::onGap(TimePoint now)
{
    // A version that was skipped may have used any service.
    m_followedSince = now;
    ++m_generation;
}

void RouteHistory::onEarlierRoutes(TimePoint now, const RouteTable &earlier, const RouteTable &inForce)
{
    addFormer(now, earlier, inForce);
}

void RouteHistory::addFormer(TimePoint now, const RouteTable &earlier, const RouteTable &later)
{
    for (const Route &route : earlier.routes()) {
        const Route *kept = later.findRoute(route.address);
        if (kept == nullptr || *kept == route) {
            continue;
        }
        for (const ServiceShare &share : route.shares) {
            if (!kept->usesService(share.service)) {
                add(route.address, share.service, now + m_settings.maximumFlowAge);
            }
        }
    }
    // The flows of a route end when it is removed, also if it is added again later.
    std::erase_if(m_deadlines, [&later](const auto &item) { return later.findRoute(item.first.first) == nullptr; });
}

void RouteHistory::merge(TimePoint now, const std::vector<FormerServiceReport> &reports)
{
    for (const FormerServiceReport &report : reports) {
        const std::chrono::milliseconds remaining(report.remainingMilliseconds);
        add(report.route, report.service, now + std::min<Duration>(remaining, m_settings.maximumFlowAge));
    }
}

void RouteHistory::onMerged(TimePoint followedSince)
{
    m_followedSince = std::min(m_followedSince.value_or(followedSince), followedSince);
}

void RouteHistory::add(const Endpoint &route, ServiceId service, TimePoint deadline)
{
    const auto [found, isNew] = m_deadlines.try_emplace({route, service}, deadline);
    found->second = std::max(found->second, deadline);
    m_generation += isNew ? 1 : 0;
}

void RouteHistory::onTick(TimePoint now)
{
    std::erase_if(m_deadlines, [now](const auto &item) { return now >= item.second; });
}

bool RouteHistory::contains(const Endpoint &route, ServiceId service) const
{
    return m_deadlines.contains({route, service});
}

bool RouteHistory::shareRoute(ServiceId first, ServiceId second, const RouteTable &routes) const
{
    return std::ranges::any_of(m_deadlines, [&](const auto &item) {
        const auto &[address, service] = item.first;
        const ServiceId other = service == first ? second : first;
        return (service == first || service == second) && (contains(address, other) || routes.allows(address, other));
    });
}

std::vector<FormerServiceReport> RouteHistory::reports(TimePoint now) const
{
    std::vector<FormerServiceReport> reports;
    reports.reserve(m_deadlines.size());
    for (const auto &[key, deadline] : m_deadlines) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(std::max(Duration::zero(), deadline - now));
        reports.push_back({key.first, key.second, static_cast<quint32>(remaining.count())});
    }
    return reports;
}

Duration RouteHistory::followedFor(TimePoint now) const
{
    return m_followedSince ? now - *m_followedSince : Duration::zero();
}

bool RouteHistory::isComplete(TimePoint now) const
{
    return followedFor(now) >= m_settings.maximumFlowAge;
}

TimePoint RouteHistory::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[key, deadline] : m_deadlines) {
        next = std::min(next, deadline);
    }
    return next;
}

}
