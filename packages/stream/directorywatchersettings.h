#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// The settings of a DirectoryWatcher.
struct DirectoryWatcherSettings
{
    /// How long a watch waits for a change. Each watch costs a call; dead connections are found by keep-alive probes.
    Duration watchTime = 25s;
    /// How much later than the wait time the response of a watch may arrive.
    Duration watchSlack = 2s;
    /// Timeout of a full read.
    Duration readTimeout = 3s;
    /// Timeout of the first full read if seeds can be queried instead; a read takes 20 to 130 ms while the store
    /// responds.
    Duration firstReadTimeout = 350ms;
    /// Timeout of a pull; a peer answers from memory.
    Duration pullTimeout = 500ms;
    /// Delay between a watch that returned changes and the next one, so that changes that come together are batched.
    Duration batchInterval = 400ms;
    /// Random delay after the first failure; doubles with each further one.
    Duration minimumBackoff = 100ms;
    /// The maximum delay between two calls to a source that fails.
    Duration maximumBackoff = 800ms;
    /// Seed of the random delays.
    quint64 seed = 1;

    bool operator==(const DirectoryWatcherSettings &) const = default;
};

}
