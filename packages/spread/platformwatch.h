#pragma once

#include "configservice/backoff.h"
#include "core/timepoint.h"
#include "spread/spreadnodesettings.h"

#include <QtGlobal>

#include <random>

namespace Rattanpick
{

/// Schedules the calls to the platform for one subject: at most one at a time, with back-off after failures.
class PlatformWatch
{
public:
    /// Builds a watch that may call at once.
    explicit PlatformWatch(const SpreadNodeSettings &settings);

    /// Whether a call is under way.
    bool isCalling() const
    {
        return m_isCalling;
    }

    /// Whether a call may start.
    bool isDue(TimePoint now) const
    {
        return !m_isCalling && m_backoff.isDue(now) && now >= m_nextCall;
    }

    /// A call starts.
    void start(TimePoint now);

    /// A call ended with an answer.
    void succeed();

    /// A call ended without an answer.
    void fail(TimePoint now, std::mt19937_64 &random);

    /// Whether the call under way has exceeded its limit.
    bool isOverdue(TimePoint now) const
    {
        return m_isCalling && now >= m_callDeadline;
    }

    /// The revision that the platform gave last; 0 before.
    quint64 revision() const
    {
        return m_revision;
    }

    /// Notes the revision that the platform gave.
    void setRevision(quint64 revision)
    {
        m_revision = revision;
    }

private:
    Duration m_timeout;
    Duration m_pause;
    Backoff m_backoff;
    bool m_isCalling = false;
    TimePoint m_callDeadline{};
    TimePoint m_nextCall{};
    quint64 m_revision = 0;
};

}
