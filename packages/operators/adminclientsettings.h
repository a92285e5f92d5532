#pragma once

#include "core/endpoint.h"

#include <chrono>

namespace Rattanpick
{

/// Settings of an AdminClient.
struct AdminClientSettings
{
    /// Address of the admin interface.
    Endpoint server;
    /// Timeout of one call, including connecting.
    std::chrono::milliseconds timeout{2000};

    bool operator==(const AdminClientSettings &) const = default;
};

}
