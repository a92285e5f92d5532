#pragma once

#include "core/endpoint.h"

#include <optional>

namespace Rattanpick
{

/// Tries to connect to an address by TCP, without waiting, to see whether a process listens there.
class ConnectionProbe
{
public:
    ConnectionProbe() = default;
    ~ConnectionProbe();

    ConnectionProbe(const ConnectionProbe &) = delete;
    ConnectionProbe &operator=(const ConnectionProbe &) = delete;

    /// Begins a try; one that is under way is given up.
    void begin(const Endpoint &to);

    /// Whether the latest try found a listener: true if it was accepted, false if it was refused. Told once; nothing while
    /// it is under way, or if it ended otherwise.
    std::optional<bool> takeResult();

    /// Writable once the result is there, for poll(); -1 if no try is under way.
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    void close();

    int m_descriptor = -1;
};

}
