#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// What a TargetDirectory is built from.
struct TargetDirectorySettings
{
    /// Port at which the agent on a target's machine receives messages; the same on all machines.
    quint16 agentPort = 0;
    /// An entry that is missing for this long, with the source there all the time, belongs to a target that is gone.
    Duration returnGrace = 2s;
    /// A first reading that ends within this time shows that the source was there; one takes 20 to 130 ms where it answers.
    Duration promptReading = 500ms;
    /// How long the machine of an unlisted target is remembered; longer than any flow lives.
    Duration departedRetention = 60s;

    bool operator==(const TargetDirectorySettings &) const = default;
};

}
