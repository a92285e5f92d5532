#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

#include <cstddef>

namespace Rattanpick
{

/// Settings of a CallerSession.
struct CallerSessionSettings
{
    /// Seed of the nonce and of the jitter of retries; must differ between flows on the same addresses.
    quint64 seed = 1;
    /// Delay of the first repeat of an unanswered message; doubles with each repeat, up to 8 times this value.
    Duration repeatInterval = 100ms;
    /// Time limit for opening the flow.
    Duration openTimeout = 5s;
    /// Time limit for closing the flow.
    Duration closeTimeout = 2s;
    /// A KeepAlive is sent if nothing was received on the flow for this long.
    Duration keepAliveInterval = 5s;
    /// The flow is broken if nothing was received on it for this long.
    Duration silenceLimit = 60s;
    /// Delay after which a missing part of an answer is requested.
    Duration missingPartDelay = 50ms;
    /// Mean delay of the first retry of a refused idempotent request; doubles with each retry.
    Duration retryDelay = 50ms;
    /// Delay after which an unanswered idempotent request is hedged: sent again under another number. 0 disables this.
    Duration hedgeDelay{};
    /// Limit for retries and hedges together, as a share of the requests.
    int retryBudgetPercent = 10;
    /// The most attempts for an idempotent request, retries and hedges included.
    std::size_t maximumAttempts = 3;
    /// The most requests in progress.
    std::size_t maximumRequests = 64;
    /// The most unacknowledged data messages in each direction.
    std::size_t dataWindow = 64;

    bool operator==(const CallerSessionSettings &) const = default;
};

}
