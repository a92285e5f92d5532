#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// The settings of a FreshnessMonitor.
struct FreshnessMonitorSettings
{
    /// Minimum and maximum age of the latest verification at which a reader verifies again. The age is random, so that
    /// one reader goes first and its messages spare the others the call. The maximum leaves time to fetch what was
    /// missed within the shortest limit for a change to take effect, three seconds.
    Duration minimumVerificationAge = 900ms;
    Duration maximumVerificationAge = 1300ms;
    /// Extra delay for processes that are not readers, so that they verify only if no reader is reachable.
    Duration nonReaderDelay = 400ms;
    /// Maximum extra delay of a process without known peers. When all processes start at once, the first few fetch the
    /// directory and spread it to the others.
    Duration isolatedDelay = 4s;
    /// Age of the latest verification at which a process queries its peers.
    Duration staleAge = 600ms;
    /// Time between two such queries.
    Duration queryInterval = 300ms;
    /// How long a reader waits for its watch to deliver a position that others have before it does a full read; must be
    /// longer than the time for which a directory worker batches changes.
    Duration watchDelayLimit = 600ms;
    /// How long other processes wait before they pull a change from a peer, so that changes that come together are
    /// batched.
    Duration batchInterval = 50ms;
    /// Delay after a failed verification.
    Duration retryTime = 700ms;
    /// Seed of the random delays.
    quint64 seed = 1;

    bool operator==(const FreshnessMonitorSettings &) const = default;
};

}
