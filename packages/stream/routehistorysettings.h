#pragma once

#include "core/timepoint.h"

namespace Rattanpick
{

/// The settings of a RouteHistory.
struct RouteHistorySettings
{
    /// How long a flow may last; a service that a route used before that has no flow of it.
    Duration maximumFlowAge = 60s;
    /// The whole fleet starts for the first time, so that no flow is older than this process.
    bool isInitialStart = false;

    bool operator==(const RouteHistorySettings &) const = default;
};

}
