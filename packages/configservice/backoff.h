#pragma once

#include "core/timepoint.h"

#include <random>

namespace Rattanpick
{

/// Exponential backoff with full jitter. Holds the time of the next attempt.
class Backoff
{
public:
    /// Creates a backoff that waits a random time up to min(maximum, minimum * 2^(n-1)) after n consecutive failures.
    Backoff(Duration minimum, Duration maximum);

    /// Records a failure and chooses the time of the next attempt.
    void fail(TimePoint now, std::mt19937_64 &random);

    /// Records a success: resets the delay, and the next attempt may be made immediately.
    void succeed();

    /// Whether the next attempt may be made.
    bool isDue(TimePoint now) const
    {
        return now >= m_deadline;
    }

    /// The earliest time of the next attempt.
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

/// A uniformly distributed random duration from 0 to @p bound, both inclusive.
Duration randomDuration(Duration bound, std::mt19937_64 &random);

}
