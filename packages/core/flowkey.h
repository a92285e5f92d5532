#pragma once

#include "core/endpoint.h"

#include <compare>
#include <optional>

namespace Rattanpick
{

/// The identity of a flow as every packet of it shows: caller, service address and IP protocol number.
struct FlowKey
{
    Endpoint caller;
    Endpoint service;
    quint8 protocol = 17;

    auto operator<=>(const FlowKey &) const = default;

    /// 64-bit hash, equal on every node; chooses the bucket of the candidate table.
    quint64 hash() const;

    /// "udp 10.0.0.1:4000 -> 10.1.0.1:7000".
    QString toString() const;

    /// Parses what toString() gives, with "udp" or "tcp"; nothing if the text has another form.
    static std::optional<FlowKey> fromString(const QString &text);
};

}

template <>
struct std::hash<Rattanpick::FlowKey>
{
    std::size_t operator()(const Rattanpick::FlowKey &key) const noexcept
    {
        return key.hash();
    }
};
