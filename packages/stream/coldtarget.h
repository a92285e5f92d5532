#pragma once

#include "core/timepoint.h"
#include "stream/streamagentsettings.h"
#include "stream/targetdirectory.h"
#include "stream/targetidentity.h"

#include <cstddef>
#include <optional>

namespace Rattanpick
{

/// Decides whether the local target is cold, and whether openings may have reached it that this process has not seen.
///
/// The entry of the target says whether its process is cold. Without proof that the process is that of the entry it counts as cold.
class ColdTarget
{
public:
    /// Builds a record for an agent that starts now; both references must outlive it.
    ColdTarget(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now);

    // Input

    /// The directory was read completely, from the source or from a peer.
    void onDirectoryRead(bool isFromSource);

    /// What is known of the process of the target.
    TargetIdentity &identity()
    {
        return m_identity;
    }

    // Decisions

    /// Maximum number of openings in any span of one second; 0 if the target is not cold.
    std::size_t limit(TimePoint now);

    /// Whether the directory says that the target is cold, by its entry or by the return of its data centre.
    bool isListedCold(TimePoint now) const;

    /// Until when openings that an earlier process of the agent has admitted fall into the same second as new ones.
    TimePoint spentUntil(TimePoint now) const;

private:
    const StreamService *findService() const;

    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    TargetIdentity m_identity;
    TimePoint m_spentDeadline;
    bool m_hasRead = false;
    /// The target that was listed when this process read the directory first; balancers may have used it before.
    std::optional<Incarnation> m_firstListed;
};

}
