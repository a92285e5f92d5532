#pragma once

#include "core/timepoint.h"

namespace Rattanpick
{

/// What a Router is built from.
struct RouterSettings
{
    /// The longest gap between two steps that is not a pause.
    Duration pauseLimit = 1s;
    /// The longest time that packets are dropped after a pause while no peer answers.
    Duration holdLimit = 1s;

    bool operator==(const RouterSettings &) const = default;
};

}
