#include "stream/openingredirection.h"

#include <algorithm>
#include <span>
#include <tuple>

namespace Rattanpick::OpeningRedirection
{

std::vector<TargetId> candidates(const TargetDirectory &directory, const QString &dataCentre, const FlowKey &flow, std::size_t limit)
{
    std::vector<std::tuple<bool, quint64, TargetId>> choices;
    for (const auto &[id, entry] : directory.entries()) {
        if (!directory.acceptsFlows(entry) || !directory.routes()->allows(flow.service, entry.target.service)) {
            continue;
        }
        // The hash spreads the flows over the targets.
        choices.emplace_back(entry.target.dataCentre != dataCentre, hashPair(flow.hash(), static_cast<quint64>(id)), id);
    }
    const std::size_t count = std::min(limit, choices.size());
    std::ranges::partial_sort(choices, choices.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<TargetId> targets;
    for (const auto &[isRemote, hash, id] : std::span(choices).first(count)) {
        targets.push_back(id);
    }
    return targets;
}

}
