#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// Detects that a worker was paused, and determines how long it must not act on its state from before the pause.
///
/// A paused process resumes with outdated state. It stays in quarantine until it has compared versions with a peer, or
/// up to a time limit, since an isolated process must continue to serve.
class PauseGuard
{
public:
    /// Builds a guard for a worker that steps more often than @p gapLimit; quarantine lasts at most @p quarantineLimit.
    explicit PauseGuard(Duration gapLimit = 1s, Duration quarantineLimit = 1s);

    /// Records a step of the worker; true if a pause preceded it. The first step never follows a pause.
    bool step(TimePoint now);

    /// The process has compared versions with a peer since the pause was detected; ends the quarantine.
    void onCompared();

    /// Whether the worker must drop its input; also true after a pause that no step has detected yet.
    bool isQuarantined(TimePoint now) const;

    /// Number of pauses detected.
    quint64 pauses() const
    {
        return m_pauses;
    }

    /// Number of pauses after which no peer answered within the limit.
    quint64 unansweredPauses() const
    {
        return m_unansweredPauses;
    }

private:
    Duration m_gapLimit;
    Duration m_quarantineLimit;
    /// A step after this time indicates a pause.
    TimePoint m_stepDeadline = TimePoint::max();
    TimePoint m_quarantineDeadline{};
    bool m_isQuarantined = false;
    quint64 m_pauses = 0;
    quint64 m_unansweredPauses = 0;
};

}
