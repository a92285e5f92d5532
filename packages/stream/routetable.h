#pragma once

#include "stream/route.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Rattanpick
{

/// The routes and services of one version of the configuration; immutable and shared by the worker threads of a
/// process.
class RouteTable
{
public:
    /// Builds a table from the parts of a validated configuration.
    RouteTable(quint64 version, std::vector<Route> routes, std::vector<StreamService> services, Duration idleTimeout);

    /// Version of the configuration; newer ones are higher.
    quint64 version() const
    {
        return m_version;
    }

    /// A flow without traffic for this long may be removed.
    Duration idleTimeout() const
    {
        return m_idleTimeout;
    }

    /// The route to the address, or null.
    const Route *findRoute(const Endpoint &address) const;

    /// The service, or null.
    const StreamService *findService(ServiceId id) const;

    /// Whether the route to the address may use the service.
    bool allows(const Endpoint &address, ServiceId service) const;

    /// Whether the configuration names the service, by itself or in a route.
    bool names(ServiceId service) const
    {
        return m_namedServices.contains(static_cast<quint32>(service));
    }

    /// Whether flows to one address may go to either service.
    bool shareRoute(ServiceId first, ServiceId second) const;

    /// The number of routes.
    std::size_t routeCount() const
    {
        return m_routes.size();
    }

    /// All routes, ordered by address.
    std::vector<Route> routes() const;

    /// All services, ordered by identifier.
    std::vector<StreamService> services() const;

    /// Whether this table has the routes of @p other, with objectives that @p other does not have.
    bool addsObjectivesTo(const RouteTable &other) const;

    bool operator==(const RouteTable &) const = default;

private:
    quint64 m_version;
    Duration m_idleTimeout;
    std::unordered_map<Endpoint, Route> m_routes;
    std::unordered_map<quint32, StreamService> m_services;
    std::unordered_set<quint32> m_namedServices;
};

/// A route table shared between threads.
using RouteTablePointer = std::shared_ptr<const RouteTable>;

}
