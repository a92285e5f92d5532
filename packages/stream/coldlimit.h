#pragma once

#include "core/timepoint.h"

#include <cstddef>
#include <deque>

namespace Rattanpick
{

/// Bounds the flows that a cold target is given in any second, over all senders.
class ColdLimit
{
public:
    /// Sets how many openings any span of one second may hold; 0 sets no limit.
    void setLimit(std::size_t openingsPerSecond);

    /// Whether another opening fits; if so it is counted.
    bool admit(TimePoint now);

private:
    std::size_t m_limit = 0;
    std::deque<TimePoint> m_admitted;
};

}
