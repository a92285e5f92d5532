#pragma once

#include "core/timepoint.h"

#include <random>

namespace Rattanpick
{

/// Randomised exponential back-off with full jitter; stores the deadline of the next attempt.
class Backoff
{
public:
    /// Builds a back-off whose n-th failure in a row waits a random time up to min(maximum, minimum * 2^(n-1)).
    Backoff(Duration minimum, Duration maximum);

    /// Notes a failure and draws the deadline of the next attempt.
    void fail(TimePoint now, std::mt19937_64 &random);

    /// Notes a success: the next attempt may be made at once.
    void succeed();

    /// Whether the next attempt may be made.
    bool isDue(TimePoint now) const
    {
        return now >= m_deadline;
    }

    /// When the next attempt may be made.
    TimePoint deadline() const
    {
        return m_deadline;
    }

private:
    Duration m_minimum;
    Duration m_maximum;
    Duration m_bound;
    TimePoint m_deadline{};
};

/// A random duration from 0 to @p bound, both included.
Duration randomDuration(Duration bound, std::mt19937_64 &random);

}
