#include "balancer/maglevrouting.h"

#include "core/assertion.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Rattanpick
{

namespace
{

constexpr quint16 emptyEntry = std::numeric_limits<quint16>::max();
constexpr quint64 offsetSeed = 1;
constexpr quint64 skipSeed = 2;

/// The order in which one target claims table entries: offset, offset + skip, offset + 2 * skip and so on.
struct Permutation
{
    quint64 next = 0;
    quint64 skip = 1;
    quint64 credit = 0;
};

}

void MaglevRouting::applyConfiguration(const ConfigurationPointer &configuration)
{
    std::unordered_map<quint32, Table> tables;
    for (const Target &target : configuration->targets()) {
        if (!configuration->isServing(target)) {
            continue;
        }
        Table &table = tables[static_cast<quint32>(target.service)];
        table.targets.push_back({target.id, target.agent});
        table.weights.push_back(target.weight);
    }
    for (auto &[service, table] : tables) {
        const auto old = m_tables.find(service);
        if (old != m_tables.end() && old->second.targets == table.targets && old->second.weights == table.weights) {
            table = std::move(old->second);
            continue;
        }
        fill(table);
    }
    m_tables = std::move(tables);
}

HopList MaglevRouting::hopsOf(ServiceId service, const FlowKey &flow) const
{
    HopList hops;
    const auto found = m_tables.find(static_cast<quint32>(service));
    if (found != m_tables.end()) {
        hops.append(found->second.targets[found->second.entries[flow.hash() % tableSize]]);
    }
    return hops;
}

void MaglevRouting::fill(Table &table)
{
    RP_ASSERT(!table.targets.empty() && table.targets.size() < emptyEntry);
    table.entries.assign(tableSize, emptyEntry);
    std::vector<Permutation> permutations;
    for (const Hop &hop : table.targets) {
        const auto target = static_cast<quint32>(hop.target);
        permutations.push_back({hashPair(target, offsetSeed) % tableSize, hashPair(target, skipSeed) % (tableSize - 1) + 1, 0});
    }
    const quint64 maximumWeight = *std::ranges::max_element(table.weights);
    std::size_t filled = 0;
    while (filled < tableSize) {
        for (std::size_t index = 0; index < permutations.size() && filled < tableSize; ++index) {
            // A target with half of the maximum weight claims an entry in every second round.
            Permutation &permutation = permutations[index];
            permutation.credit += table.weights[index];
            if (permutation.credit < maximumWeight) {
                continue;
            }
            permutation.credit -= maximumWeight;
            while (table.entries[permutation.next] != emptyEntry) {
                permutation.next = (permutation.next + permutation.skip) % tableSize;
            }
            table.entries[permutation.next] = static_cast<quint16>(index);
            ++filled;
        }
    }
}

}
