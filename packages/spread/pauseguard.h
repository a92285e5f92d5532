#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// Notices that a duty was paused and says how long it must not act on what it knew before.
///
/// A paused process resumes with an outdated state. It holds until it has compared versions with a peer, or until
/// a limit, since a process that is alone must go on serving.
class PauseGuard
{
public:
    /// Builds a guard for a duty that steps more often than @p gapLimit and holds at most @p holdLimit.
    explicit PauseGuard(Duration gapLimit = 1s, Duration holdLimit = 1s);

    /// A step of the duty; true if a pause lies before it. The first step never follows a pause.
    bool step(TimePoint now);

    /// The process has compared versions with a peer since the pause was noticed.
    void onCompared();

    /// Whether the duty must drop its input; also true after a pause that no step has noticed yet.
    bool isHolding(TimePoint now) const;

    /// Pauses noticed.
    quint64 pauses() const
    {
        return m_pauses;
    }

    /// Pauses after which no peer answered within the limit.
    quint64 unansweredPauses() const
    {
        return m_unansweredPauses;
    }

private:
    Duration m_gapLimit;
    Duration m_holdLimit;
    /// A step after this time follows a pause.
    TimePoint m_stepDeadline = TimePoint::max();
    TimePoint m_holdDeadline{};
    bool m_isHolding = false;
    quint64 m_pauses = 0;
    quint64 m_unansweredPauses = 0;
};

}
