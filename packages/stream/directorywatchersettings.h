#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// What a DirectoryWatcher is built from.
struct DirectoryWatcherSettings
{
    /// How long a watch waits for a change; each watch costs a call, and keep-alive probes find silent connections.
    Duration watchTime = 25s;
    /// How much later than asked for the answer of a watch may come.
    Duration watchSlack = 2s;
    /// The longest wait for a complete reading.
    Duration readTimeout = 3s;
    /// The longest wait of a process that knows nothing and could ask a seed; a reading takes 20 to 130 ms where the store answers.
    Duration firstReadTimeout = 350ms;
    /// The longest wait for a peer, which answers from memory.
    Duration pullTimeout = 500ms;
    /// Time between the end of a watch that brought changes and the next one; gathers changes that come together.
    Duration gatherTime = 400ms;
    /// Random wait after the first failure; doubles with each further one.
    Duration minimumBackoff = 100ms;
    /// The longest wait between two calls to a source that fails.
    Duration maximumBackoff = 800ms;
    /// Seed of the random waits.
    quint64 seed = 1;

    bool operator==(const DirectoryWatcherSettings &) const = default;
};

}
