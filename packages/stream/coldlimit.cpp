#include "stream/coldlimit.h"

namespace Rattanpick
{

namespace
{

/// Longer than one second, because openings can arrive at the target closer together than they were admitted here.
constexpr Duration window = 1100ms;

}

void ColdLimit::setLimit(std::size_t openingsPerSecond)
{
    m_limit = openingsPerSecond;
}

bool ColdLimit::admit(TimePoint now)
{
    while (!m_admitted.empty() && now - m_admitted.front() >= window) {
        m_admitted.pop_front();
    }
    if (m_limit > 0 && m_admitted.size() >= m_limit) {
        return false;
    }
    // Also counts openings from before the target turned cold, since they fall into the same second.
    m_admitted.push_back(now);
    return true;
}

}
