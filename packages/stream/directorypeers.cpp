#include "stream/directorypeers.h"

#include "stream/directoryreaders.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// A process that has queried the directory position is notified of updates for this long; it repeats the query more
/// often.
constexpr Duration subscriptionTimeout = 5s;

}

DirectoryPeers::DirectoryPeers(const StreamAgentSettings &settings, const TargetDirectory &directory)
    : m_settings(settings)
    , m_directory(directory)
{
}

void DirectoryPeers::subscribe(TimePoint now, const Endpoint &peer)
{
    m_subscribers[peer] = now + subscriptionTimeout;
}

void DirectoryPeers::removeExpired(TimePoint now)
{
    std::erase_if(m_subscribers, [now](const auto &item) { return now >= item.second; });
}

std::set<Endpoint> DirectoryPeers::updateReceivers(TimePoint now)
{
    std::set<Endpoint> receivers;
    if (!isReader()) {
        return receivers;
    }
    for (const auto &[id, entry] : m_directory.entries()) {
        if (entry.isPresent() && entry.target.dataCentre == m_settings.dataCentre && entry.agent != m_settings.endpoint) {
            receivers.insert(entry.agent);
        }
    }
    for (const auto &[peer, deadline] : m_subscribers) {
        if (now < deadline) {
            receivers.insert(peer);
        }
    }
    return receivers;
}

std::vector<Endpoint> DirectoryPeers::takeQueryReceivers()
{
    std::vector<Endpoint> receivers = DirectoryReaders::peersToQuery(m_directory, m_settings.dataCentre, m_nextQuery++);
    std::erase(receivers, m_settings.endpoint);
    return receivers;
}

bool DirectoryPeers::isReader()
{
    // A full read brings many changes; the election is run once after them.
    if (m_readerGeneration != m_directory.generation()) {
        m_readerGeneration = m_directory.generation();
        const std::vector<Endpoint> readers = DirectoryReaders::ofDataCentre(m_directory, m_settings.dataCentre);
        m_isReader = std::ranges::find(readers, m_settings.endpoint) != readers.end();
    }
    return m_isReader;
}

bool DirectoryPeers::isIsolated() const
{
    return DirectoryReaders::peersToQuery(m_directory, m_settings.dataCentre, 0).empty();
}

}
