#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"

#include <QtGlobal>

namespace Rattanpick
{

/// A service that a route has used and that may still hold flows of it, as reported to another process.
struct FormerServiceReport
{
    /// The destination address of the callers.
    Endpoint route;
    ServiceId service{};
    /// Time until the last of these flows has ended; relative, since processes have no common clock.
    quint32 remainingMilliseconds = 0;

    bool operator==(const FormerServiceReport &) const = default;
};

}
