#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"
#include "stream/flowretentionsettings.h"
#include "stream/placementsettings.h"
#include "stream/silentagentssettings.h"
#include "stream/targetdirectorysettings.h"

#include <cstddef>

namespace Rattanpick
{

/// The settings of a StreamBalancer.
struct StreamBalancerSettings
{
    /// Endpoint at which this process receives messages of agents.
    Endpoint endpoint;
    TargetDirectorySettings directory;
    PlacementSettings placement;
    /// How long an opening waits for the answer of its target before the next one is tried; several round trips between
    /// data centres.
    Duration offerTimeout = 50ms;
    /// Targets that a balancer tries by itself; after that it waits for the caller's next copy.
    int offerAttempts = 3;
    /// How long an opening counts as queued after an agent has reported it; callers give up an opening after 1.4 s.
    Duration waitLimit = 1400ms;
    /// Number of candidates in an opening message, for agents that cannot accept the opening themselves.
    std::size_t candidateLimit = 6;
    FlowRetentionSettings retention;
    /// How long a stopping balancer keeps forwarding if the network does not check its readiness; twice the time that
    /// two checks take.
    Duration stopLinger = 2s;
    /// How long it keeps forwarding packets in flight once the network sends no more callers. Short, since the network
    /// falls back to all balancers of a data centre while most of them are unavailable.
    Duration withdrawnLinger = 100ms;
    /// If a message of the agent of an unlisted target arrived within this time, the target still holds its flows.
    Duration unlistedAgentTimeout = 1500ms;
    /// Whether a segment that the caller repeats also goes through an agent in a third data centre.
    bool relaysRepeatedSegments = true;
    SilentAgentsSettings silentAgents;

    bool operator==(const StreamBalancerSettings &) const = default;
};

}
