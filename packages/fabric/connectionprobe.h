#pragma once

#include "core/endpoint.h"

#include <optional>

namespace Rattanpick
{

/// Attempts a non-blocking TCP connection to check whether a process listens on an address.
class ConnectionProbe
{
public:
    ConnectionProbe() = default;
    ~ConnectionProbe();

    ConnectionProbe(const ConnectionProbe &) = delete;
    ConnectionProbe &operator=(const ConnectionProbe &) = delete;

    /// Starts an attempt; aborts one that is in progress.
    void begin(const Endpoint &to);

    /// The result of the latest attempt: true if the connection was accepted, false if it was refused. Returned once;
    /// nullopt while the attempt is in progress, or if it failed for another reason.
    std::optional<bool> takeResult();

    /// File descriptor for poll(), writable once the result is available; -1 if no attempt is in progress.
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    void close();

    int m_descriptor = -1;
};

}
