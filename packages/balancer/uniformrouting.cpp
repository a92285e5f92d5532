#include "balancer/uniformrouting.h"

namespace Rattanpick
{

void UniformRouting::applyConfiguration(const ConfigurationPointer &configuration)
{
    m_targets.clear();
    for (const Target &target : configuration->targets()) {
        if (configuration->isServing(target)) {
            m_targets[static_cast<quint32>(target.service)].push_back({target.id, target.agent});
        }
    }
}

HopList UniformRouting::hopsOf(ServiceId service, const FlowKey &flow) const
{
    HopList hops;
    const auto found = m_targets.find(static_cast<quint32>(service));
    if (found != m_targets.end()) {
        hops.append(found->second[flow.hash() % found->second.size()]);
    }
    return hops;
}

}
