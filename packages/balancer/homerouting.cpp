#include "balancer/homerouting.h"

namespace Rattanpick
{

void HomeRouting::applyConfiguration(const ConfigurationPointer &configuration)
{
    m_tables.applyConfiguration(configuration);
}

HopList HomeRouting::hopsOf(ServiceId service, const FlowKey &flow) const
{
    return m_tables.hopsOf(service, flow);
}

}
