#pragma once

#include "configservice/backoff.h"
#include "core/timepoint.h"
#include "spread/spreadnodesettings.h"

#include <QtGlobal>

#include <random>

namespace Rattanpick
{

/// Schedules the platform calls for one subject: at most one at a time, with back-off after failures.
class PlatformWatch
{
public:
    /// Builds a watch whose first call may start immediately.
    explicit PlatformWatch(const SpreadNodeSettings &settings);

    /// Whether a call is in progress.
    bool isCalling() const
    {
        return m_isCalling;
    }

    /// Whether a call may start.
    bool isDue(TimePoint now) const
    {
        return !m_isCalling && m_backoff.isDue(now) && now >= m_nextCall;
    }

    /// Records the start of a call.
    void start(TimePoint now);

    /// Records that the call succeeded.
    void succeed();

    /// Records that the call failed, and starts the back-off.
    void fail(TimePoint now, std::mt19937_64 &random);

    /// Whether the call in progress has exceeded its timeout.
    bool isOverdue(TimePoint now) const
    {
        return m_isCalling && now >= m_callDeadline;
    }

    /// The last revision received from the platform; 0 if none.
    quint64 revision() const
    {
        return m_revision;
    }

    void setRevision(quint64 revision)
    {
        m_revision = revision;
    }

private:
    Duration m_timeout;
    Duration m_minimumCallInterval;
    Backoff m_backoff;
    bool m_isCalling = false;
    TimePoint m_callDeadline{};
    TimePoint m_nextCall{};
    quint64 m_revision = 0;
};

}
