#pragma once

#include "balancer/routingstrategy.h"
#include "balancer/servicetables.h"

namespace Rattanpick
{

/// Baseline: the first candidate, then the first candidate of the previous table; ignores load.
class DaisyChainRouting : public RoutingStrategy
{
public:
    void applyConfiguration(const ConfigurationPointer &configuration) override;
    HopList hopsOf(ServiceId service, const FlowKey &flow) const override;

private:
    ServiceTables m_tables;
};

}
