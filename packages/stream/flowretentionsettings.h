#pragma once

#include "core/timepoint.h"

namespace Rattanpick
{

/// The settings of a FlowRetention.
struct FlowRetentionSettings
{
    /// Idle timeout until a configuration sets one.
    Duration assumedIdleTimeout = 15s;
    /// Time for which a configuration may be in force before this process learns of it.
    Duration configurationDelay = 5s;
    /// How long a flow is kept after both ends have finished, for retransmissions of the last segments.
    Duration closedFlowRetention = 3s;
    /// Interval at which a flow is checked; the idle timeout may be lowered while the flow is idle.
    Duration checkInterval = 15s;

    bool operator==(const FlowRetentionSettings &) const = default;
};

}
