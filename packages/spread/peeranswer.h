#pragma once

#include "core/configurationversion.h"

#include <QByteArray>

#include <optional>

namespace Rattanpick
{

/// What the document part of a PeerAnswer holds.
enum class PeerAnswerKind : quint8 {
    /// The peer has nothing later.
    Nothing,
    /// A DocumentDelta that applies to the asker's version.
    Delta,
    /// The whole text, compressed.
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
    /// An encoded InstanceSnapshot if the peer's is later than the asker's, otherwise empty.
    QByteArray instances;

    bool operator==(const PeerAnswer &) const = default;

    /// The answer in the form sent to peers, with a digest over all of it.
    QByteArray toBytes() const;

    /// Parses what toBytes() wrote; nothing if it is malformed or damaged.
    static std::optional<PeerAnswer> fromBytes(const QByteArray &bytes);
};

}
