#include "stream/coldtarget.h"

#include "stream/coldlimit.h"

#include <algorithm>
#include <cmath>

namespace Rattanpick
{

ColdTarget::ColdTarget(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now)
    : m_settings(settings)
    , m_directory(directory)
    , m_identity(settings, directory, now)
    , m_spentDeadline(now + ColdLimit::window)
{
}

void ColdTarget::onDirectoryRead(bool isFromSource)
{
    m_identity.onDirectoryRead(isFromSource);
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    if (!m_hasRead && own != nullptr) {
        m_firstListed = own->target.incarnation;
    }
    m_hasRead = true;
}

std::size_t ColdTarget::limit(TimePoint now)
{
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    const StreamService *service = findService();
    if (own == nullptr || service == nullptr || service->coldRequestsPerSecond <= 0) {
        return 0;
    }
    const bool isProven = m_identity.isProven(now, *own, service->coldTime);
    if (isProven && !isListedCold(now)) {
        return 0;
    }
    const double limit = std::floor(service->coldRequestsPerSecond * m_settings.coldFactor + m_settings.coldSlack);
    return static_cast<std::size_t>(std::max(1.0, limit));
}

bool ColdTarget::isListedCold(TimePoint now) const
{
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    const StreamService *service = findService();
    const std::optional<TimePoint> returnedAt = m_directory.returnTime(m_settings.dataCentre);
    const Duration coldTime = service != nullptr ? std::max(service->coldTime, m_settings.returnColdTime) : m_settings.returnColdTime;
    const bool hasJustReturned = returnedAt && now < *returnedAt + coldTime;
    return hasJustReturned || (own != nullptr && now < own->target.coldDeadline);
}

TimePoint ColdTarget::spentUntil(TimePoint now) const
{
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    const bool wasListedBefore = own != nullptr && m_firstListed == own->target.incarnation;
    // A target that is cold for want of proof only has started after the earlier agent has ended, or is warm.
    return wasListedBefore && now < own->target.coldDeadline ? m_spentDeadline : TimePoint{};
}

const StreamService *ColdTarget::findService() const
{
    return m_directory.routes() != nullptr ? m_directory.routes()->findService(m_settings.service) : nullptr;
}

}
