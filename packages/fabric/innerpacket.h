#pragma once

#include "core/flowkey.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// An IPv4 UDP packet, parsed and serialised with libtins.
struct InnerPacket
{
    /// Caller and service of the flow, independent of the packet's direction.
    FlowKey flow;
    /// Whether the packet is sent from the service to the caller.
    bool isTowardsCaller = false;
    /// The UDP payload.
    QByteArray payload;

    bool operator==(const InnerPacket &) const = default;

    /// Serialises the packet from the IP header on, with checksums.
    QByteArray encode() const;

    /// Parses a packet from a caller (source is the caller); nullopt unless it is a complete IPv4 UDP packet.
    static std::optional<InnerPacket> fromCaller(QByteArrayView bytes);

    /// Parses a packet to a caller (destination is the caller); nullopt unless it is a complete IPv4 UDP packet.
    static std::optional<InnerPacket> toCaller(QByteArrayView bytes);
};

}
