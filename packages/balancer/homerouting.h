#pragma once

#include "balancer/routingstrategy.h"
#include "balancer/servicetables.h"

namespace Rattanpick
{

/// Production strategy: the candidates of the flow, then first candidates of earlier tables.
class HomeRouting : public RoutingStrategy
{
public:
    void applyConfiguration(const ConfigurationPointer &configuration) override;
    HopList hopsOf(ServiceId service, const FlowKey &flow) const override;

private:
    ServiceTables m_tables;
};

}
