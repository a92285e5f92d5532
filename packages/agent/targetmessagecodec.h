#pragma once

#include "agent/targetmessage.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// The largest datagram between an agent and its target, in bytes.
inline constexpr qsizetype maximumTargetMessageSize = 8192;

/// Encodes a command (QDataStream, big endian, version Qt_6_4: magic, kind, body); at most maximumTargetMessageSize.
QByteArray encodeTargetCommand(const TargetCommand &command);

/// Decodes a command; empty if the datagram is truncated, too long, of unknown kind or has trailing bytes.
std::optional<TargetCommand> decodeTargetCommand(QByteArrayView datagram);

/// Encodes a reply (QDataStream, big endian, version Qt_6_4: magic, kind, incarnation, body); at most
/// maximumTargetMessageSize.
QByteArray encodeTargetReply(const TargetReply &reply);

/// Decodes a reply; empty if the datagram is truncated, too long, of unknown kind or has trailing bytes.
std::optional<TargetReply> decodeTargetReply(QByteArrayView datagram);

}
