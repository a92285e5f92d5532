#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

#include <cstddef>

namespace Rattanpick
{

/// What a CallerSession is built from.
struct CallerSessionSettings
{
    /// Seed of the nonce and of the jitter of retries; must differ between flows on the same addresses.
    quint64 seed = 1;
    /// Time until an unanswered message is first repeated; doubles up to 8 times this.
    Duration repeatInterval = 100ms;
    /// How long the opening is tried.
    Duration openTimeout = 5s;
    /// How long the closing is tried.
    Duration closeTimeout = 2s;
    /// A flow on which nothing was heard for this long gets a KeepAlive.
    Duration keepAliveInterval = 5s;
    /// A flow on which nothing was heard for this long is broken.
    Duration silenceLimit = 60s;
    /// How long a missing part of an answer is waited for before it is asked for.
    Duration missingPartDelay = 50ms;
    /// Mean time until an idempotent request that was refused is tried again; doubles with each try.
    Duration retryDelay = 50ms;
    /// An idempotent request without an answer is sent a second time under another number after this; 0 means never.
    Duration hedgeDelay{};
    /// Retries and hedges together, as a share of requests.
    int retryBudgetPercent = 10;
    /// The most attempts for an idempotent request, retries and hedges included.
    std::size_t maximumAttempts = 3;
    /// The most requests that have not ended.
    std::size_t maximumRequests = 64;
    /// The most messages of flow data that are not acknowledged, in each direction.
    std::size_t dataWindow = 64;

    bool operator==(const CallerSessionSettings &) const = default;
};

}
