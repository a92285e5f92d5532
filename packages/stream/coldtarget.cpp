#include "stream/coldtarget.h"

#include "stream/coldlimit.h"

#include <algorithm>
#include <cmath>

namespace Rattanpick
{

ColdTarget::ColdTarget(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now)
    : m_settings(settings)
    , m_directory(directory)
    , m_agentStart(now)
    , m_spentDeadline(now + ColdLimit::window)
{
}

void ColdTarget::onDirectoryRead(bool isFromSource)
{
    m_hasReadSource = m_hasReadSource || isFromSource;
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    if (!m_hasRead && own != nullptr) {
        m_firstListed = own->target.incarnation;
    }
    m_hasRead = true;
}

void ColdTarget::onTargetEnded()
{
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    m_ended.reset();
    if (own != nullptr) {
        m_ended = own->target.incarnation;
    }
}

void ColdTarget::onTargetStarted(TimePoint now)
{
    m_startedAt = now;
}

std::size_t ColdTarget::limit(TimePoint now) const
{
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    const StreamService *service = m_directory.routes() != nullptr ? m_directory.routes()->findService(m_settings.service) : nullptr;
    if (own == nullptr || service == nullptr || service->coldRequestsPerSecond <= 0 || !isCold(now, *own, service->coldTime)) {
        return 0;
    }
    const double limit = std::floor(service->coldRequestsPerSecond * m_settings.coldFactor + m_settings.coldSlack);
    return static_cast<std::size_t>(std::max(1.0, limit));
}

bool ColdTarget::isCold(TimePoint now, const TargetDirectory::Entry &own, Duration coldTime) const
{
    const std::optional<TimePoint> returnedAt = m_directory.returnTime(m_settings.dataCentre);
    const bool hasJustReturned = returnedAt && now < *returnedAt + std::max(coldTime, m_settings.returnColdTime);
    return now < own.target.coldDeadline || hasJustReturned || isOutdated(now, own, coldTime);
}

bool ColdTarget::isOutdated(TimePoint now, const TargetDirectory::Entry &own, Duration coldTime) const
{
    if (m_startedAt && m_ended == own.target.incarnation && now < *m_startedAt + coldTime) {
        return true;
    }
    // After a loss of power agent and target start together. While the source does not answer, the entry that peers serve may be that of
    // the process before.
    const bool isConfirmed = m_hasReadSource || m_firstListed != own.target.incarnation;
    return !isConfirmed && now < std::max(m_agentStart, m_startedAt.value_or(m_agentStart)) + coldTime;
}

TimePoint ColdTarget::spentUntil() const
{
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    const bool wasListedBefore = own != nullptr && m_firstListed == own->target.incarnation;
    return wasListedBefore ? m_spentDeadline : TimePoint{};
}

}
