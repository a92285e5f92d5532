#pragma once

#include "core/endpoint.h"

#include <compare>
#include <optional>

namespace Rattanpick
{

/// Identifies a flow by fields that every packet of it carries: caller, service address and IP protocol number.
struct FlowKey
{
    Endpoint caller;
    Endpoint service;
    quint8 protocol = 17;

    auto operator<=>(const FlowKey &) const = default;

    /// 64-bit hash, equal on every node; selects the bucket of the candidate table.
    quint64 hash() const;

    /// Formats the key as "udp 10.0.0.1:4000 -> 10.1.0.1:7000".
    QString toString() const;

    /// Parses the output of toString() for the protocols "udp" and "tcp"; nothing for any other text.
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
