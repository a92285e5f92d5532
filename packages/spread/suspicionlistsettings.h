#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

#include <cstddef>

namespace Rattanpick
{

/// Parameters of a SuspicionList.
struct SuspicionListSettings
{
    /// Seed of the random choice of peers.
    quint64 seed = 1;
    /// Maximum number of entries: more than the targets of one data centre at the design size.
    std::size_t capacity = 8192;
    /// Lifetime of an entry, so that a target whose refutation was lost is used again.
    Duration lifetime = 30s;
    /// Time for which a refutation takes precedence over a suspicion of the same incarnation; longer than 8 hops take.
    Duration refutationLifetime = 2s;
    /// Number of random peers that a new suspicion is forwarded to.
    int fanOut = 4;
    /// A message with this hop count is not forwarded; 4^8 recipients exceed the design size.
    quint8 maximumHops = 8;

    bool operator==(const SuspicionListSettings &) const = default;
};

}
