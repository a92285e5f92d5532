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
    /// Sets the maximum number of openings in any span of one second; 0 disables the limit.
    void setLimit(std::size_t openingsPerSecond);

    /// Whether another opening is within the limit; if so, it is counted.
    bool admit(TimePoint now);

private:
    std::size_t m_limit = 0;
    std::deque<TimePoint> m_admitted;
};

}
