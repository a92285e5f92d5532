#include "spread/pauseguard.h"

namespace Rattanpick
{

PauseGuard::PauseGuard(Duration gapLimit, Duration holdLimit)
    : m_gapLimit(gapLimit)
    , m_holdLimit(holdLimit)
{
}

bool PauseGuard::step(TimePoint now)
{
    const bool isAfterPause = now > m_stepDeadline;
    m_stepDeadline = now + m_gapLimit;
    if (isAfterPause) {
        ++m_pauses;
        m_isHolding = true;
        m_holdDeadline = now + m_holdLimit;
        return true;
    }
    if (m_isHolding && now >= m_holdDeadline) {
        m_isHolding = false;
        ++m_unansweredPauses;
    }
    return false;
}

void PauseGuard::onCompared()
{
    m_isHolding = false;
}

bool PauseGuard::isHolding(TimePoint now) const
{
    return now > m_stepDeadline || (m_isHolding && now < m_holdDeadline);
}

}
