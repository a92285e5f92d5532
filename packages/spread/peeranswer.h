#pragma once

#include "core/configurationversion.h"

#include <QByteArray>

#include <optional>

namespace Rattanpick
{

/// Content of the document part of a PeerAnswer.
enum class PeerAnswerKind : quint8 {
    /// The peer has no newer version.
    Nothing,
    /// A DocumentDelta that applies to the requester's version.
    Delta,
    /// The whole document, compressed.
    Whole,
};

/// A peer's answer to PullDocument.
struct PeerAnswer
{
    PeerAnswerKind kind = PeerAnswerKind::Nothing;
    /// The version that a delta applies to.
    ConfigurationVersion from;
    /// The version in force at the peer.
    ConfigurationVersion to;
    QByteArray body;
    /// An encoded InstanceSnapshot if the peer's revision is higher than the requester's, otherwise empty.
    QByteArray instances;

    bool operator==(const PeerAnswer &) const = default;

    /// Serialises the answer in the wire format, followed by a digest over all of its bytes.
    QByteArray toBytes() const;

    /// Parses the output of toBytes(); nullopt if it is malformed or damaged.
    static std::optional<PeerAnswer> fromBytes(const QByteArray &bytes);
};

}
