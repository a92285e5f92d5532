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

/// The name of a drop reason in the metrics, such as "forged".
const char *dropReasonName(DropReason reason);

/// Encodes and decodes the datagrams between the system's processes.
///
/// Layout: QDataStream, big endian, version Qt_6_4: magic (32 bits), kind (8 bits), size of the datagram
/// (16 bits), header, body, then an 8-byte SipHash-2-4 tag (libsodium) under the fleet key over all bytes
/// before it. Not thread-safe, since decode() stores the drop reason.
class PeerMessageCodec
{
public:
    /// The 16-byte fleet key from the settings.
    using Key = std::array<unsigned char, 16>;

    /// Maximum size of a datagram in bytes.
    static constexpr qsizetype maximumSize = 8192;

    /// Builds a codec for the given key.
    explicit PeerMessageCodec(const Key &key);

    /// Encodes the message; the size of the datagram must not exceed maximumSize.
    QByteArray encode(const PeerMessage &message) const;

    /// Decodes the datagram; nullopt if it is refused, with the reason in lastDrop().
    std::optional<PeerMessage> decode(QByteArrayView datagram) const;

    /// Why the latest decode() returned nullopt; None if it succeeded.
    DropReason lastDrop() const
    {
        return m_lastDrop;
    }

private:
    Key m_key;
    mutable DropReason m_lastDrop = DropReason::None;
};

}
