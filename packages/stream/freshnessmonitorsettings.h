#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// What a FreshnessMonitor is built from.
struct FreshnessMonitorSettings
{
    /// Age of the latest verification, at the least and at the most, at which a reader verifies. The random choice lets
    /// one of them go first, and its messages spare the others the call. The greatest age leaves time for reading what
    /// was missed within the shortest bound of a change, three seconds.
    Duration minimumAge = 900ms;
    Duration maximumAge = 1300ms;
    /// How much later the other processes verify, so that they do only when no reader is heard.
    Duration otherDelay = 400ms;
    /// At most how much later a process verifies that knows nobody to ask; at the first start of all, the few that come
    /// first spread what they find.
    Duration aloneDelay = 4s;
    /// Age at which a process asks others how fresh they are.
    Duration staleAge = 600ms;
    /// Time between two such questions.
    Duration askInterval = 300ms;
    /// How long the watch of a reader may take to bring a change that others know before everything is read again;
    /// longer than the time in which a directory duty gathers changes.
    Duration patience = 600ms;
    /// How long the other processes wait before they ask a peer for a change; gathers changes that come together.
    Duration gatherTime = 50ms;
    /// Time after a failed verification before the next one.
    Duration retryTime = 700ms;
    /// Seed of the random choices.
    quint64 seed = 1;

    bool operator==(const FreshnessMonitorSettings &) const = default;
};

}
