#pragma once

#include "balancer/routingstrategy.h"

#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Baseline: the hash of the flow modulo the number of serving targets, regardless of their weights; one hop.
class UniformRouting : public RoutingStrategy
{
public:
    void applyConfiguration(const ConfigurationPointer &configuration) override;
    HopList hopsOf(ServiceId service, const FlowKey &flow) const override;

private:
    std::unordered_map<quint32, std::vector<Hop>> m_targets;
};

}
