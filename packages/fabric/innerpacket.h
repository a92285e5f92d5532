#pragma once

#include "core/flowkey.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// An IPv4 packet with a UDP header, read and written with libtins.
struct InnerPacket
{
    /// Caller and service of the flow, whatever the direction of the packet.
    FlowKey flow;
    /// Whether the packet goes from the service to the caller.
    bool isTowardsCaller = false;
    /// The UDP payload.
    QByteArray payload;

    bool operator==(const InnerPacket &) const = default;

    /// The bytes of the packet, from the IP header on, with checksums.
    QByteArray encode() const;

    /// Parses a packet from a caller (source is the caller); nothing if it is no whole IPv4 UDP packet.
    static std::optional<InnerPacket> fromCaller(QByteArrayView bytes);

    /// Parses a packet to a caller (destination is the caller); nothing if it is no whole IPv4 UDP packet.
    static std::optional<InnerPacket> toCaller(QByteArrayView bytes);
};

}
