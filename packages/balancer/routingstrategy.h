#pragma once

#include "core/flowkey.h"
#include "fabric/hoplist.h"
#include "operators/configuration.h"

namespace Rattanpick
{

/// Chooses the agents that a packet may be sent to; implemented by the production strategy and by the baselines.
class RoutingStrategy
{
public:
    virtual ~RoutingStrategy() = default;

    /// Puts a configuration in force.
    virtual void applyConfiguration(const ConfigurationPointer &configuration) = 0;

    /// The agents that may own the flow, best first; empty if no target is serving. Allocates no memory.
    virtual HopList hopsOf(ServiceId service, const FlowKey &flow) const = 0;
};

}
