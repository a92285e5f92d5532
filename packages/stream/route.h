#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/timepoint.h"

#include <QString>

#include <algorithm>
#include <vector>

namespace Rattanpick
{

/// One of the services that a route splits its flows over.
struct ServiceShare
{
    ServiceId service{};
    /// Relative share of the new flows, at least 1.
    quint32 weight = 1;

    bool operator==(const ServiceShare &) const = default;
};

/// Where the flows to one address go.
struct Route
{
    /// The address that callers send to.
    Endpoint address;
    /// At least one share.
    std::vector<ServiceShare> shares;
    /// Urgency of the requests; 0 is the most urgent.
    int priority = 0;
    /// Time after which a caller no longer waits for an answer; zero if not known.
    Duration timeout{};

    /// Whether flows of this route go to the service.
    bool leadsTo(ServiceId service) const
    {
        return std::ranges::any_of(shares, [service](const ServiceShare &share) { return share.service == service; });
    }

    bool operator==(const Route &) const = default;
};

/// What the configuration says of a service whose targets hold byte-stream flows.
struct StreamService
{
    QString name;
    ServiceId id{};
    /// Requests that a cold target bears in a second; 0 if the configuration sets no limit.
    double coldRequestsPerSecond = 0;
    /// Time for which a target is cold after its start.
    Duration coldTime{};

    bool operator==(const StreamService &) const = default;
};

}
