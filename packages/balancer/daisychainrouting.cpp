#include "balancer/daisychainrouting.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// Number of tables consulted: the one in force and the previous one.
constexpr std::size_t chainLength = 2;

}

void DaisyChainRouting::applyConfiguration(const ConfigurationPointer &configuration)
{
    m_tables.applyConfiguration(configuration);
}

HopList DaisyChainRouting::hopsOf(ServiceId service, const FlowKey &flow) const
{
    HopList hops;
    const auto *generations = m_tables.generations(service);
    if (generations == nullptr) {
        return hops;
    }
    for (std::size_t index = 0; index < std::min(chainLength, generations->size()); ++index) {
        const Hop first = (*generations)[index].table->candidatesOf(flow).front();
        if (first.target == TargetId{}) {
            continue;
        }
        hops.append(first);
    }
    return hops;
}

}
