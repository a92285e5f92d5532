#pragma once

#include "core/timepoint.h"
#include "stream/coldlimit.h"
#include "stream/coldtarget.h"
#include "stream/streamagentsettings.h"
#include "stream/streammessage.h"
#include "stream/targetdirectory.h"

namespace Rattanpick
{

/// Why an agent does not forward an opening to its target.
enum class OpeningRefusal : quint8 {
    None,
    /// The opening is for another service that used the address before.
    WrongService,
    /// The active routes do not allow the address to use this service.
    NoRoute,
    Draining,
    DataCentreOut,
    /// The rate limit of the cold target is reached.
    Cold,
    /// The rate limit of a target is reached whose process is not proven to be that of its entry; it may be cold.
    Unproven,
    /// This process is about to stop.
    Stopping,
    /// The process of the target has ended.
    TargetEnded,
    /// This process was paused and has not read the directory since.
    Outdated,
    Count,
};

/// Name of the reason for logs.
const char *openingRefusalName(OpeningRefusal refusal);

/// Decides whether an opening may be sent to the target. The agent of a target sees the openings of all balancers.
class OpeningFence
{
public:
    /// Builds a fence of an agent that starts now; both references must outlive it.
    OpeningFence(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now);

    /// Returns None if the opening may be sent to the target; it then counts towards the rate limit.
    OpeningRefusal admit(TimePoint now, const StreamMessage &message, const Endpoint &route);

    /// Why every opening is currently refused, apart from the rate limit; None if openings are not refused in general.
    OpeningRefusal lastingRefusal(TimePoint now) const;

    /// The same for one opening. If no other target is left for it, it is also taken during a planned stop, and for a short
    /// time after the target has begun to drain.
    OpeningRefusal lastingRefusal(TimePoint now, const StreamMessage &message) const;

    /// A planned stop has begun.
    void setStopping()
    {
        m_isStopping = true;
    }

    /// The target process has ended.
    void onTargetEnded();

    /// The target process sends packets although it had counted as ended.
    void onTargetActive()
    {
        m_hasTargetEnded = false;
    }

    /// Another target process has started.
    void onTargetStarted(TimePoint now);

    /// What is known of the process of the target.
    TargetIdentity &identity()
    {
        return m_coldTarget.identity();
    }

    /// Refuses all openings until the directory has been read completely, or until the deadline.
    void suspendUntil(TimePoint deadline)
    {
        m_suspensionDeadline = deadline;
    }

    /// The directory was read completely, from the source or from a peer; ends the suspension.
    void onDirectoryRead(bool isFromSource);

private:
    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    ColdTarget m_coldTarget;
    ColdLimit m_coldLimit;
    bool m_isStopping = false;
    bool m_hasTargetEnded = false;
    TimePoint m_suspensionDeadline{};
};

}
