#include "spread/pauseguard.h"

namespace Rattanpick
{

PauseGuard::PauseGuard(Duration gapLimit, Duration quarantineLimit)
    : m_gapLimit(gapLimit)
    , m_quarantineLimit(quarantineLimit)
{
}

bool PauseGuard::step(TimePoint now)
{
    const bool isAfterPause = now > m_stepDeadline;
    m_stepDeadline = now + m_gapLimit;
    if (isAfterPause) {
        ++m_pauses;
        m_isQuarantined = true;
        m_quarantineDeadline = now + m_quarantineLimit;
        return true;
    }
    if (m_isQuarantined && now >= m_quarantineDeadline) {
        m_isQuarantined = false;
        ++m_unansweredPauses;
    }
    return false;
}

void PauseGuard::onCompared()
{
    m_isQuarantined = false;
}

bool PauseGuard::isQuarantined(TimePoint now) const
{
    return now > m_stepDeadline || (m_isQuarantined && now < m_quarantineDeadline);
}

}
