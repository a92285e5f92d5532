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

    /// Whether neither address nor port is set.
    bool isNull() const
    {
        return address == 0 && port == 0;
    }

    /// "127.0.0.1:7000".
    QString toString() const;

    /// Parses "127.0.0.1:7000"; nothing if the address is no IPv4 number or the port is not in 1 to 65535.
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
