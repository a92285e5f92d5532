#include "stream/coldlimit.h"

namespace Rattanpick
{

void ColdLimit::setLimit(std::size_t openingsPerSecond)
{
    m_limit = openingsPerSecond;
}

void ColdLimit::setSpentUntil(TimePoint time)
{
    m_spentDeadline = time;
}

bool ColdLimit::admit(TimePoint now)
{
    while (!m_admitted.empty() && now - m_admitted.front() >= window) {
        m_admitted.pop_front();
    }
    if (m_limit > 0 && (now < m_spentDeadline || m_admitted.size() >= m_limit)) {
        return false;
    }
    // Also counts openings from before the target turned cold, since they fall into the same second.
    m_admitted.push_back(now);
    return true;
}

}
