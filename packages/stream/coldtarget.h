#pragma once

#include "core/timepoint.h"
#include "stream/streamagentsettings.h"
#include "stream/targetdirectory.h"

#include <cstddef>
#include <optional>

namespace Rattanpick
{

/// Decides whether the local target is cold, and whether openings may have reached it that this process has not seen.
///
/// Restarts make the entry of the target insufficient. An earlier process of the agent may have admitted openings until it ended, and the
/// target may have started again while its entry still describes the process before: seen by this process, or before it started.
class ColdTarget
{
public:
    /// Builds a record for an agent that starts now; both references must outlive it.
    ColdTarget(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now);

    // Input

    /// The directory was read completely, from the source or from a peer.
    void onDirectoryRead(bool isFromSource);

    /// The process of the target has ended.
    void onTargetEnded();

    /// Another process of the target has started.
    void onTargetStarted(TimePoint now);

    // Decisions

    /// Maximum number of openings in any span of one second; 0 if the target is not cold.
    std::size_t limit(TimePoint now) const;

    /// Until when openings that an earlier process of the agent has admitted fall into the same second as new ones.
    TimePoint spentUntil() const;

private:
    bool isCold(TimePoint now, const TargetDirectory::Entry &own, Duration coldTime) const;
    /// Whether the entry may describe an earlier process of the target than the one that runs now.
    bool isOutdated(TimePoint now, const TargetDirectory::Entry &own, Duration coldTime) const;

    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    /// When the process of the agent has started.
    TimePoint m_agentStart;
    TimePoint m_spentDeadline;
    bool m_hasRead = false;
    bool m_hasReadSource = false;
    /// The target that was listed when this process read the directory first; balancers may have used it before.
    std::optional<Incarnation> m_firstListed;
    /// The entry of the process that has ended last.
    std::optional<Incarnation> m_ended;
    std::optional<TimePoint> m_startedAt;
};

}
