#pragma once

#include "core/endpoint.h"

#include <chrono>

namespace Rattanpick
{

/// What an AdminClient is built from.
struct AdminClientSettings
{
    /// The admin interface to call.
    Endpoint server;
    /// The longest time of one call, connecting included.
    std::chrono::milliseconds timeout{2000};

    bool operator==(const AdminClientSettings &) const = default;
};

}
