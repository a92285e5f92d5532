#pragma once

#include <QString>
#include <QtGlobal>

#include <compare>
#include <cstddef>
#include <functional>
#include <optional>

namespace Rattanpick
{

/// An IPv4 address and port, both in host byte order.
struct Endpoint
{
    quint32 address = 0;
    quint16 port = 0;

    auto operator<=>(const Endpoint &) const = default;

    /// Whether both address and port are zero.
    bool isNull() const
    {
        return address == 0 && port == 0;
    }

    /// Formats the endpoint as "127.0.0.1:7000".
    QString toString() const;

    /// Parses "127.0.0.1:7000". Returns nothing if the address is not a dotted IPv4 address or the port is not
    /// in the range 1 to 65535.
    static std::optional<Endpoint> fromString(const QString &text);
};

}

template <>
struct std::hash<Rattanpick::Endpoint>
{
    std::size_t operator()(const Rattanpick::Endpoint &endpoint) const noexcept
    {
        return std::hash<quint64>{}((quint64{endpoint.address} << 16) | endpoint.port);
    }
};
