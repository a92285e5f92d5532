#pragma once

#include "core/logratelimiter.h"

#include <QString>
#include <QtGlobal>

#include <cstddef>
#include <functional>
#include <optional>

namespace Rattanpick
{

/// Settings of an EventLog.
struct EventLogSettings
{
    /// Name of the process, stored in each event.
    QString process;
    /// Number of events kept in memory, at least 1.
    std::size_t eventsKept = 10000;
    /// Returns the wall clock in milliseconds since 1970; the system clock if empty.
    std::function<qint64()> wallClock = {};
    /// Initial value of the Lamport clock. Starting from the wall clock makes events after a restart of all processes
    /// sort after earlier events.
    quint64 lamportStart = 0;
    /// Receives the events to be written, one at a time; the logger "rattanpick.event" if empty. Must not block.
    std::function<void(const Event &)> sink = {};
    /// Limits the rate of written events; unlimited if empty. Suppressed events are still stored in memory.
    std::optional<LogRateLimiter> rateLimiter = {};
};

}
