#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/timepoint.h"

#include <QString>

#include <algorithm>
#include <vector>

namespace Rattanpick
{

/// A service that a route sends a share of its flows to.
struct ServiceShare
{
    ServiceId service{};
    /// Relative weight, at least 1.
    quint32 weight = 1;

    bool operator==(const ServiceShare &) const = default;
};

/// The services that flows to an address are sent to.
struct Route
{
    /// The destination address of the callers.
    Endpoint address;
    /// At least one share.
    std::vector<ServiceShare> shares;
    /// Priority of the requests; 0 is the most urgent.
    int priority = 0;
    /// Time after which a caller stops waiting for an answer; zero if unknown.
    Duration timeout{};
    /// Time within which an answer is worth its full value to the caller; zero if unknown.
    Duration objective{};

    /// Whether the service is one of the route's.
    bool usesService(ServiceId service) const
    {
        return std::ranges::any_of(shares, [service](const ServiceShare &share) { return share.service == service; });
    }

    bool operator==(const Route &) const = default;
};

/// Configuration of a service whose targets hold byte-stream flows.
struct StreamService
{
    QString name;
    ServiceId id{};
    /// Requests per second that a cold target can handle; 0 if the configuration sets no limit.
    double coldRequestsPerSecond = 0;
    /// How long a target is cold after its start.
    Duration coldTime{};

    bool operator==(const StreamService &) const = default;
};

}
