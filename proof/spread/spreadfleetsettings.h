#pragma once

#include <core/timepoint.h>
#include <spread/spreadstrategy.h>

namespace Rattanpick::Proof
{

/// Settings of a SpreadFleet.
struct SpreadFleetSettings
{
    int nodes = 100;
    quint64 seed = 1;
    /// Strategy of the nodes; the fleet sets parser and snapshots.
    SpreadStrategy strategy{};
    /// Settings of the nodes; the fleet sets names, addresses and seeds.
    SpreadNodeSettings node{};
    Duration tickInterval = 100ms;
    /// One-way latencies within a data centre, within a region and between regions.
    Duration latencyNear = 250us;
    Duration latencyRegion = 1500us;
    Duration latencyFar = 40ms;
    /// One-way latency to the platform.
    Duration latencyPlatform = 3ms;
    /// Time after which the platform answers a watch without a change.
    Duration watchTime = 30s;
    /// Calls per second that the platform accepts, waiting watches included; further ones fail.
    quint64 platformLimit = 2000;
};

}
