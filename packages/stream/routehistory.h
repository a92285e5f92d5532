#pragma once

#include "stream/formerservicereport.h"
#include "stream/routehistorysettings.h"
#include "stream/routetable.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Rattanpick
{

/// The services that routes have used in earlier versions of the configuration.
///
/// A new version leaves open flows where they are, so that a flow may be held by a target of a service that its route no
/// longer uses. The record of a process is continuous since a point in time if the process has seen every version since then, or
/// a peer has that has shared its record. A route has not used a service since then that the record lacks; of the time before, nothing
/// is known.
class RouteHistory
{
public:
    /// Builds an empty history.
    explicit RouteHistory(const RouteHistorySettings &settings);

    /// A version of the configuration comes into force; @p previous is null for the first one. @p isGapless: no version between
    /// the two was skipped; otherwise the record is continuous from now on only.
    void onRoutes(TimePoint now, const RouteTable *previous, const RouteTable &next, bool isGapless);

    /// A version that is older than the one in force has arrived late.
    void onEarlierRoutes(TimePoint now, const RouteTable &earlier, const RouteTable &inForce);

    /// Versions of the configuration may have come and gone without this process: the record is continuous from now on only.
    void onGap(TimePoint now);

    /// Takes over former services that a peer knows.
    void merge(TimePoint now, const std::vector<FormerServiceReport> &reports);

    /// All former services of a peer have been taken over. Its record is continuous since the time, up to a version that is not
    /// older than that of this process.
    void onMerged(TimePoint followedSince);

    /// Removes services whose flows have ended.
    void onTick(TimePoint now);

    /// Whether the route has used the service, and the service may hold flows of it.
    bool contains(const Endpoint &route, ServiceId service) const;

    /// Whether a route that has used the first service has also used the second one, or uses it in the routes.
    bool shareRoute(ServiceId first, ServiceId second, const RouteTable &routes) const;

    /// All former services.
    std::vector<FormerServiceReport> reports(TimePoint now) const;

    /// For how long the record is continuous, by this process or by peers; zero before the first version.
    Duration followedFor(TimePoint now) const;

    /// Whether every service that may hold flows of a route is known.
    bool isComplete(TimePoint now) const;

    /// Incremented when a former service becomes known and when the record begins anew: conclusions drawn before may be wrong.
    quint64 generation() const
    {
        return m_generation;
    }

    /// When a service is to be removed.
    TimePoint nextDeadline() const;

private:
    void addFormer(TimePoint now, const RouteTable &earlier, const RouteTable &later);
    void add(const Endpoint &route, ServiceId service, TimePoint deadline);

    RouteHistorySettings m_settings;
    /// Deadlines by route and service.
    std::map<std::pair<Endpoint, ServiceId>, TimePoint> m_deadlines;
    /// Since when the record is continuous.
    std::optional<TimePoint> m_followedSince;
    quint64 m_generation = 0;
};

}
