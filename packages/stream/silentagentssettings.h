#pragma once

#include "core/timepoint.h"

namespace Rattanpick
{

/// The settings of a SilentAgents.
struct SilentAgentsSettings
{
    /// An agent that leaves a probe unanswered for this long gets one probe in each interval.
    Duration silenceLimit = 100ms;
    Duration probeInterval = 100ms;
    /// An agent that leaves probes unanswered for this long is gone. Longer than a planned restart, which leaves them
    /// unanswered as well.
    Duration goneTime = 2s;

    bool operator==(const SilentAgentsSettings &) const = default;
};

}
