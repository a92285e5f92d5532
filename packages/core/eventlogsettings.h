#pragma once

#include "core/logratelimiter.h"

#include <QString>
#include <QtGlobal>

#include <cstddef>
#include <functional>
#include <optional>

namespace Rattanpick
{

/// What an EventLog is built from.
struct EventLogSettings
{
    /// Name of the process, written into each event.
    QString process;
    /// Events kept in memory, at least 1.
    std::size_t eventsKept = 10000;
    /// Wall clock in milliseconds since 1970; the system's clock if empty.
    std::function<qint64()> wallClock = {};
    /// Where the Lamport clock begins; the wall clock lets events after a restart of all processes sort after those before.
    quint64 lamportStart = 0;
    /// Takes the events to be written, one at a time; the logger "rattanpick.event" if empty. It must not block.
    std::function<void(const Event &)> sink = {};
    /// Bounds what is written; no bound if empty. All events are kept in memory.
    std::optional<LogRateLimiter> rateLimiter = {};
};

}
