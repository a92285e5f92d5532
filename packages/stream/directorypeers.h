#pragma once

#include "stream/streamagentsettings.h"
#include "stream/targetdirectory.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Decides which processes an agent notifies of a newer directory, and which ones it queries for their position.
class DirectoryPeers
{
public:
    /// Builds an object without subscribers; both references must outlive it.
    DirectoryPeers(const StreamAgentSettings &settings, const TargetDirectory &directory);

    /// Notifies the process of newer positions for some time; it has queried the position of this one.
    void subscribe(TimePoint now, const Endpoint &peer);

    /// Removes the processes that have not repeated their query.
    void removeExpired(TimePoint now);

    /// The processes to notify of a newer position; none if this process is not a reader.
    std::set<Endpoint> updateReceivers(TimePoint now);

    /// The processes to query for their position now.
    std::vector<Endpoint> takeQueryReceivers();

    /// Whether this process watches the directory source on behalf of its data centre.
    bool isReader();

    /// Whether there is no process to query.
    bool isIsolated() const;

private:
    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    /// Until when each process is notified of updates.
    std::unordered_map<Endpoint, TimePoint> m_subscribers;
    bool m_isReader = false;
    /// Generation of the directory of the latest election.
    quint64 m_readerGeneration = 0;
    quint64 m_nextQuery = 0;
};

}
