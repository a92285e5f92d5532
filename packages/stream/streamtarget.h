#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/timepoint.h"

#include <QString>

#include <chrono>

namespace Rattanpick
{

/// A target as published by service discovery.
struct StreamTarget
{
    /// Name under which the target has registered.
    QString name;
    TargetId id{};
    /// Identifies one run of the target process; another run holds none of its flows.
    Incarnation incarnation{};
    ServiceId service{};
    /// Endpoint at which the target receives segments; its agent runs on the same machine.
    Endpoint address;
    QString dataCentre;
    /// Number of requests that the target processes concurrently.
    quint32 slotCount = 1;
    bool isDraining = false;
    /// Time of day at which its process has started.
    std::chrono::sys_time<std::chrono::milliseconds> startTime{};
    /// When the target stops being cold, according to the latest report.
    TimePoint coldDeadline{};

    bool operator==(const StreamTarget &) const = default;
};

}
