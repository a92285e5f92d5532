#include "agent/loadestimator.h"

#include "core/assertion.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace Rattanpick
{

LoadEstimator::LoadEstimator(Duration timeConstant)
    : m_timeConstant(timeConstant)
{
    RP_ASSERT(timeConstant > Duration::zero());
}

void LoadEstimator::setOccupancy(TimePoint now, std::size_t requests, double permittedSlots)
{
    RP_ASSERT(permittedSlots > 0);
    m_mean = meanAt(now);
    m_current = static_cast<double>(requests) / permittedSlots;
    m_since = now;
}

quint16 LoadEstimator::loadPermille(TimePoint now) const
{
    constexpr double most = std::numeric_limits<quint16>::max();
    return static_cast<quint16>(std::min(std::round(meanAt(now) * 1000), most));
}

double LoadEstimator::meanAt(TimePoint now) const
{
    using Seconds = std::chrono::duration<double>;
    const double elapsed = std::chrono::duration_cast<Seconds>(std::max(now - m_since, Duration::zero())) / std::chrono::duration_cast<Seconds>(m_timeConstant);
    return m_current + (m_mean - m_current) * std::exp(-elapsed);
}

}
