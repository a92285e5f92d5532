#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

#include <cstddef>

namespace Rattanpick
{

/// What a SuspicionList is built from.
struct SuspicionListSettings
{
    /// Seed of the choice of peers.
    quint64 seed = 1;
    /// Entries held at the same time: more than the targets of one data centre of the design size.
    std::size_t capacity = 8192;
    /// Time after which a suspicion expires, so that a target whose refutation was lost is used again.
    Duration lifetime = 30s;
    /// Time for which a refutation wins over a suspicion of the same incarnation: longer than 8 hops take.
    Duration refutationLifetime = 2s;
    /// Random peers that a new suspicion is passed to.
    int fanOut = 4;
    /// A message with this hop count is not passed on; 4^8 exceeds the design size.
    quint8 maximumHops = 8;

    bool operator==(const SuspicionListSettings &) const = default;
};

}
