#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/timepoint.h"

#include <QString>

namespace Rattanpick
{

/// A target as service discovery describes it.
struct StreamTarget
{
    /// Name under which the target registered itself.
    QString name;
    TargetId id{};
    /// One life of the target process; another one holds none of its flows.
    Incarnation incarnation{};
    ServiceId service{};
    /// Where the target receives segments; its agent is on the same machine.
    Endpoint address;
    QString dataCentre;
    /// Requests that the target runs at the same time.
    quint32 slotCount = 1;
    bool isDraining = false;
    /// Until when the target is cold, as of the latest report.
    TimePoint coldDeadline{};

    bool operator==(const StreamTarget &) const = default;
};

}
