#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// What a FreshnessGuard is built from.
struct FreshnessGuardSettings
{
    /// Age of the latest verification, at the least and at the most, at which the process verifies by itself. The
    /// random choice lets one process in the fleet go first, and its messages spare the others the call. The greatest
    /// age leaves a second for reading what was missed within the shortest bound of a change, three seconds.
    Duration minimumAge = 900ms;
    Duration maximumAge = 1500ms;
    /// How long a watch may take to bring a change that others know before everything is read again; longer than the
    /// time in which a directory duty gathers changes.
    Duration patience = 600ms;
    /// Time after a failed verification before the next one.
    Duration retryTime = 700ms;
    /// Seed of the random choices.
    quint64 seed = 1;

    bool operator==(const FreshnessGuardSettings &) const = default;
};

}
