#include "stream/targetannouncer.h"

#include <set>

namespace Rattanpick
{

TargetAnnouncer::TargetAnnouncer(const StreamAgentSettings &settings, const TargetDirectory &directory)
    : m_settings(settings)
    , m_directory(directory)
{
}

void TargetAnnouncer::onDirectoryChange(TimePoint now)
{
    if (!m_directory.isComplete() || m_directory.isListed(m_settings.target)) {
        m_deadline = TimePoint::max();
    } else if (m_deadline == TimePoint::max()) {
        m_deadline = now;
    }
}

void TargetAnnouncer::onTargetChange(TimePoint now)
{
    if (m_deadline != TimePoint::max()) {
        m_deadline = now;
    }
}

std::vector<Endpoint> TargetAnnouncer::takeReceivers(TimePoint now)
{
    if (now < m_deadline) {
        return {};
    }
    m_deadline = now + m_settings.announcementInterval;
    return receivers(now);
}

std::vector<Endpoint> TargetAnnouncer::receivers(TimePoint now) const
{
    // Only agents whose targets may serve the same flows look them up. An agent without an entry may serve as well.
    std::set<Endpoint> receivers;
    for (const auto &[id, entry] : m_directory.entries()) {
        if (entry.agent == m_settings.endpoint || entry.agent.isNull()) {
            continue;
        }
        const bool mayShareFlows = !m_directory.routeHistory().isComplete(now) || m_directory.mayShareFlows(entry.target.service, m_settings.service);
        if (mayShareFlows) {
            receivers.insert(entry.agent);
        }
    }
    return {receivers.begin(), receivers.end()};
}

}
