#pragma once

#include "stream/streamagentsettings.h"
#include "stream/targetdirectory.h"

#include <vector>

namespace Rattanpick
{

/// Decides when, and to whom, an agent announces a local target that the directory does not list, or the end of it.
///
/// A target may live without an entry: it leaves and still serves its flows, or its entry has expired. An agent that has
/// started since then learns of the target from these announcements only, and of its end as well: a machine that is removed
/// afterwards cannot answer any more.
class TargetAnnouncer
{
public:
    /// Builds an announcer; both references must outlive it.
    TargetAnnouncer(const StreamAgentSettings &settings, const TargetDirectory &directory);

    /// Processes a change of the directory: the announcements begin at once when the entry of the local target goes.
    void onDirectoryChange(TimePoint now);

    /// The process of the target has ended or started: announced at once while the target is not listed.
    void onTargetChange(TimePoint now);

    /// The agents whose targets may hold the same flows as the local one.
    std::vector<Endpoint> receivers(TimePoint now) const;

    /// The agents to notify now; empty if no announcement is due.
    std::vector<Endpoint> takeReceivers(TimePoint now);

    /// When takeReceivers() has a result next.
    TimePoint nextDeadline() const
    {
        return m_deadline;
    }

private:
    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    /// When the next announcement is due; never while the local target is listed.
    TimePoint m_deadline = TimePoint::max();
};

}
