#pragma once

#include "core/timepoint.h"

#include <cstddef>
#include <deque>

namespace Rattanpick
{

/// Limits the flows that a cold target is given in any span of one second, over all balancers.
class ColdLimit
{
public:
    /// Span within which the openings are counted. Longer than one second, because openings can arrive at the target closer
    /// together than they were admitted.
    static constexpr Duration window = 1100ms;

    /// Sets the maximum number of openings in any span of one second; 0 disables the limit.
    void setLimit(std::size_t openingsPerSecond);

    /// Until the time, openings that this object has not counted may have used up the limit.
    void setSpentUntil(TimePoint time);

    /// Whether another opening is within the limit; if so, it is counted.
    bool admit(TimePoint now);

private:
    std::size_t m_limit = 0;
    TimePoint m_spentDeadline{};
    std::deque<TimePoint> m_admitted;
};

}
