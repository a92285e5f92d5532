#pragma once

#include "core/timepoint.h"

namespace Rattanpick
{

/// Parameters of a Router.
struct RouterSettings
{
    /// A longer gap between two calls of the router counts as a pause of the process.
    Duration pauseLimit = 1s;
    /// Maximum time that packets are dropped after a pause while no peer answers.
    Duration quarantineLimit = 1s;

    bool operator==(const RouterSettings &) const = default;
};

}
