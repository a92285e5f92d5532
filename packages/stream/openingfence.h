#pragma once

#include "core/timepoint.h"
#include "stream/coldlimit.h"
#include "stream/streamagentsettings.h"
#include "stream/streammessage.h"
#include "stream/targetdirectory.h"

namespace Rattanpick
{

/// Why an agent does not give an opening to its target.
enum class OpeningRefusal : quint8 {
    None,
    /// The opening is for another service; the address was used by it before.
    WrongService,
    /// The routes in force do not let the address use this service.
    NoRoute,
    Draining,
    DataCentreOut,
    /// A cold target has been given as many flows as it bears.
    Cold,
    /// This process is about to stop.
    Stopping,
    /// The process of the target has ended.
    TargetEnded,
    /// This process was paused and has not heard from the directory since.
    Outdated,
    Count,
};

/// The name of the reason, for logs.
const char *openingRefusalName(OpeningRefusal refusal);

/// Decides whether a target may be given an opening. Standing beside the target, it sees the openings of all balancers.
class OpeningFence
{
public:
    /// Builds a fence; both references must outlive it.
    OpeningFence(const StreamAgentSettings &settings, const TargetDirectory &directory);

    /// None if the target may be given the opening, which is then counted.
    OpeningRefusal admit(TimePoint now, const StreamMessage &message, const Endpoint &route);

    /// Whether every opening is refused for a reason that lasts.
    OpeningRefusal lastingRefusal(TimePoint now) const;

    /// A planned stop has begun.
    void setStopping()
    {
        m_isStopping = true;
    }

    /// The target process has ended, or another one is there.
    void setTargetEnded(bool hasEnded)
    {
        m_hasTargetEnded = hasEnded;
    }

    /// Refuses openings until a reading of the directory has ended, or until the deadline.
    void holdUntil(TimePoint deadline)
    {
        m_holdDeadline = deadline;
    }

    /// Ends a hold.
    void release()
    {
        m_holdDeadline = {};
    }

private:
    void updateColdLimit(TimePoint now, const TargetDirectory::Entry &own);

    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    ColdLimit m_cold;
    bool m_isStopping = false;
    bool m_hasTargetEnded = false;
    TimePoint m_holdDeadline{};
};

}
