#pragma once

#include <QString>

#include <cstddef>
#include <functional>

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
    std::function<qint64()> wallClock;
};

}
