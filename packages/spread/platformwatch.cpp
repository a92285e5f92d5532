#include "spread/platformwatch.h"

#include "core/assertion.h"

namespace Rattanpick
{

PlatformWatch::PlatformWatch(const SpreadNodeSettings &settings)
    : m_timeout(settings.platformTimeout)
    , m_minimumCallInterval(settings.minimumPlatformCallInterval)
    , m_backoff(settings.backoffMinimum, settings.backoffMaximum)
{
}

void PlatformWatch::start(TimePoint now)
{
    RP_ASSERT(!m_isCalling);
    m_isCalling = true;
    m_callDeadline = now + m_timeout;
    m_nextCall = now + m_minimumCallInterval;
}

void PlatformWatch::succeed()
{
    m_isCalling = false;
    m_backoff.succeed();
}

void PlatformWatch::fail(TimePoint now, std::mt19937_64 &random)
{
    m_isCalling = false;
    m_backoff.fail(now, random);
}

}
