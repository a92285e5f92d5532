#pragma once

#include "fabric/peermessage.h"

#include <QByteArray>
#include <QByteArrayView>

#include <array>
#include <optional>

namespace Rattanpick
{

/// Why a received datagram was dropped; each reason has its own counter.
enum class DropReason : quint8 {
    None = 0,
    Truncated,
    Malformed,
    Oversized,
    Forged,
    UnknownService,
    UnknownDestination,
    NoCandidate,
    NoConfiguration,
    HoldingAfterPause,
    HopLimit,
    DataCentreOut,
    QueueFull,
    NotPlaced,
    UnknownFlow,
    RingFull,
    Count,
};

/// The name of a drop reason as metrics show it, such as "forged".
const char *dropReasonName(DropReason reason);

/// Writes and reads the datagrams between the system's processes.
///
/// Layout: QDataStream, big endian, version Qt_6_4: magic (32 bits), kind (8 bits), size of the datagram
/// (16 bits), header, body, then an 8-byte SipHash-2-4 tag (libsodium) under the fleet key over all bytes
/// before it. An instance is for one thread, since decode() stores its reason.
class PeerMessageCodec
{
public:
    /// The fleet key, 16 bytes, as the settings give it.
    using Key = std::array<unsigned char, 16>;

    /// The largest datagram written or read, in bytes.
    static constexpr qsizetype maximumSize = 8192;

    /// Builds a codec for the given key.
    explicit PeerMessageCodec(const Key &key);

    /// The datagram for the message; its size must not exceed maximumSize.
    QByteArray encode(const PeerMessage &message) const;

    /// The message in the datagram; nothing if it is refused, then lastDrop() tells why.
    std::optional<PeerMessage> decode(QByteArrayView datagram) const;

    /// Why the latest decode() gave nothing.
    DropReason lastDrop() const
    {
        return m_lastDrop;
    }

private:
    Key m_key;
    mutable DropReason m_lastDrop = DropReason::None;
};

}
