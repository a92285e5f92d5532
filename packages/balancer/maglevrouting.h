#pragma once

#include "balancer/routingstrategy.h"

#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Baseline: weighted Maglev hashing without earlier tables; one hop.
class MaglevRouting : public RoutingStrategy
{
public:
    /// Entries of a service's lookup table, a prime; about 100 per target at 650 targets.
    static constexpr std::size_t tableSize = 65537;

    void applyConfiguration(const ConfigurationPointer &configuration) override;
    HopList hopsOf(ServiceId service, const FlowKey &flow) const override;

private:
    struct Table
    {
        std::vector<Hop> targets;
        std::vector<quint32> weights;
        /// Indices into targets.
        std::vector<quint16> entries;
    };

    static void fill(Table &table);

    std::unordered_map<quint32, Table> m_tables;
};

}
