#pragma once

#include "agent/targetmessage.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// The largest datagram between an agent and its target, in bytes.
inline constexpr qsizetype maximumTargetMessageSize = 8192;

/// The datagram for a command (QDataStream, big endian, version Qt_6_4: magic, kind, body); at most maximumTargetMessageSize.
QByteArray encodeTargetCommand(const TargetCommand &command);

/// The command in a datagram; nothing if it is truncated, too long, of unknown kind or followed by other bytes.
std::optional<TargetCommand> decodeTargetCommand(QByteArrayView datagram);

/// The datagram for a reply (QDataStream, big endian, version Qt_6_4: magic, kind, incarnation, body); at most maximumTargetMessageSize.
QByteArray encodeTargetReply(const TargetReply &reply);

/// The reply in a datagram; nothing if it is truncated, too long, of unknown kind or followed by other bytes.
std::optional<TargetReply> decodeTargetReply(QByteArrayView datagram);

}
