#pragma once

#include "balancer/routingstrategy.h"

#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Baseline: weighted Maglev hashing alone, without any state of earlier tables; one hop.
class MaglevRouting : public RoutingStrategy
{
public:
    /// Places of a service's look-up table, a prime; about 100 for each target at 650 targets.
    static constexpr std::size_t tableSize = 65537;

    void applyConfiguration(const ConfigurationPointer &configuration) override;
    HopList hopsOf(ServiceId service, const FlowKey &flow) const override;

private:
    struct Table
    {
        std::vector<Hop> targets;
        std::vector<quint32> weights;
        /// For each place an index into targets.
        std::vector<quint16> places;
    };

    static void fill(Table &table);

    std::unordered_map<quint32, Table> m_tables;
};

}
