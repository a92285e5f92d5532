#pragma once

#include "core/timepoint.h"
#include "stream/routehistorysettings.h"

#include <QtGlobal>

namespace Rattanpick
{

/// The settings of a TargetDirectory.
struct TargetDirectorySettings
{
    /// Port at which agents receive messages; the same on all machines.
    quint16 agentPort = 0;
    /// If an entry is missing for this long while the source is available, its target is gone.
    Duration relistGrace = 2s;
    /// A first read that ends within this time shows that the source was available; a read takes 20 to 130 ms while the
    /// source responds.
    Duration promptReadLimit = 500ms;
    /// How long the machine of an unlisted target is recorded; longer than the lifetime of any flow.
    Duration departedRetention = 60s;
    RouteHistorySettings routeHistory{};

    bool operator==(const TargetDirectorySettings &) const = default;
};

}
