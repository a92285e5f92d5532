#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"
#include "stream/placementsettings.h"
#include "stream/targetdirectorysettings.h"

#include <cstddef>

namespace Rattanpick
{

/// What a StreamBalancer is built from.
struct StreamBalancerSettings
{
    /// Where this process receives messages of agents.
    Endpoint endpoint;
    TargetDirectorySettings directory;
    PlacementSettings placement;
    /// How long an opening waits for its target before the next one is tried; several round trips between data centres.
    Duration offerTimeout = 50ms;
    /// Targets that a balancer tries on its own; after that it waits for the caller's next copy.
    int offerAttempts = 3;
    /// How long an agent that says that an opening waits is believed; callers give up an opening after 1.4 s.
    Duration waitLimit = 1400ms;
    /// Targets that an opening names, in order, for agents that cannot take it.
    std::size_t candidateLimit = 6;
    /// How long the location of a flow is kept after its caller has sent its last data.
    Duration closingMemory = 3s;
    /// How long a stopping balancer goes on forwarding if the network does not ask whether it is ready; twice the time
    /// in which the network asks twice.
    Duration stopLinger = 2s;
    /// How long it goes on once the network sends no more callers, for packets that are on their way. Short, since the
    /// network falls back to all balancers of a data centre while most of them are away.
    Duration withdrawnLinger = 100ms;
    /// The agent of an unlisted target that was heard from this lately still holds its flows.
    Duration departedHearing = 1500ms;

    bool operator==(const StreamBalancerSettings &) const = default;
};

}
