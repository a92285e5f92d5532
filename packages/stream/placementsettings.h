#pragma once

#include "core/timepoint.h"

#include <QString>

namespace Rattanpick
{

/// What a Placement is built from.
struct PlacementSettings
{
    /// The data centre of this process.
    QString dataCentre;
    /// How long a target that did not answer an opening is tried last; a restarted agent is back within this time.
    Duration suspicionTime = 500ms;
    /// Time between two pings of a target that did not answer.
    Duration pingInterval = 150ms;
    /// How long a load report is used before the target counts as idle again.
    Duration loadMemory = 3s;
    /// How long a target that has just started to drain may still take flows if no other can; well below any drain time.
    Duration drainingGrace = 1s;
    /// Service time assumed while none is known.
    Duration assumedServiceTime = 20ms;
    /// What a flow to another data centre costs: two crossings of the link, and its bytes.
    Duration crossingCost = 4ms;

    bool operator==(const PlacementSettings &) const = default;
};

}
