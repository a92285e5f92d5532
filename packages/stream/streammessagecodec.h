#pragma once

#include "stream/streammessage.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// Maximum number of candidates in a message.
inline constexpr std::size_t maximumCandidates = 8;

/// Maximum number of former services in a message, so that it fits into one packet of the network.
inline constexpr std::size_t maximumFormerServices = 80;

/// Encodes a message as a datagram.
QByteArray encodeStreamMessage(const StreamMessage &message, bool namesEra = true);

/// Decodes a datagram; nothing if it is malformed, truncated or has trailing bytes.
std::optional<StreamMessage> decodeStreamMessage(QByteArrayView datagram);

}
