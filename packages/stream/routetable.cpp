#include "stream/routetable.h"

#include "core/assertion.h"

#include <algorithm>

namespace Rattanpick
{

RouteTable::RouteTable(quint64 version, std::vector<Route> routes, std::vector<StreamService> services, Duration idleTimeout)
    : m_version(version)
    , m_idleTimeout(idleTimeout)
{
    for (Route &route : routes) {
        RP_ASSERT(!route.shares.empty());
        for (const ServiceShare &share : route.shares) {
            m_namedServices.insert(static_cast<quint32>(share.service));
        }
        m_routes.emplace(route.address, std::move(route));
    }
    for (StreamService &service : services) {
        m_namedServices.insert(static_cast<quint32>(service.id));
        m_services.emplace(static_cast<quint32>(service.id), std::move(service));
    }
}

const Route *RouteTable::findRoute(const Endpoint &address) const
{
    const auto found = m_routes.find(address);
    return found != m_routes.end() ? &found->second : nullptr;
}

const StreamService *RouteTable::findService(ServiceId id) const
{
    const auto found = m_services.find(static_cast<quint32>(id));
    return found != m_services.end() ? &found->second : nullptr;
}

bool RouteTable::addsObjectivesTo(const RouteTable &other) const
{
    if (m_version != other.m_version || m_routes.size() != other.m_routes.size()) {
        return false;
    }
    bool hasAdded = false;
    for (const auto &[address, route] : m_routes) {
        const Route *counterpart = other.findRoute(address);
        if (counterpart == nullptr || counterpart->shares != route.shares || counterpart->objective > Duration::zero()) {
            return false;
        }
        hasAdded = hasAdded || route.objective > Duration::zero();
    }
    return hasAdded;
}

std::vector<Route> RouteTable::routes() const
{
    std::vector<Route> routes;
    for (const auto &[address, route] : m_routes) {
        routes.push_back(route);
    }
    std::ranges::sort(routes, {}, &Route::address);
    return routes;
}

std::vector<StreamService> RouteTable::services() const
{
    std::vector<StreamService> services;
    for (const auto &[id, service] : m_services) {
        services.push_back(service);
    }
    std::ranges::sort(services, {}, &StreamService::id);
    return services;
}

bool RouteTable::shareRoute(ServiceId first, ServiceId second) const
{
    return first == second
           || std::ranges::any_of(m_routes, [first, second](const auto &item) { return item.second.usesService(first) && item.second.usesService(second); });
}

bool RouteTable::allows(const Endpoint &address, ServiceId service) const
{
    const Route *route = findRoute(address);
    return route != nullptr && route->usesService(service);
}

}
