#pragma once

#include <core/timepoint.h>
#include <spread/spreadstrategy.h>

namespace Rattanpick::Proof
{

/// What a SpreadFleet is built from.
struct SpreadFleetSettings
{
    int nodes = 100;
    quint64 seed = 1;
    /// Strategy of the nodes; parser and snapshots are set by the fleet.
    SpreadStrategy strategy{};
    /// Settings of the nodes; names, addresses and seeds are set by the fleet.
    SpreadNodeSettings node{};
    Duration tickInterval = 100ms;
    /// One way, within a data centre, within a region and between regions.
    Duration latencyNear = 250us;
    Duration latencyRegion = 1500us;
    Duration latencyFar = 40ms;
    /// One way, to the platform.
    Duration latencyPlatform = 3ms;
    /// Time for which the platform holds a watch.
    Duration watchTime = 30s;
    /// Calls a second that the platform allows, waiting watches included; further ones fail.
    quint64 platformLimit = 2000;
};

}
