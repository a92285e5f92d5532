#pragma once

#include "stream/streammessage.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// The most candidates that a message names.
inline constexpr std::size_t maximumCandidates = 8;

/// The datagram of a message.
QByteArray encodeStreamMessage(const StreamMessage &message);

/// The message of a datagram; nothing if it is malformed, truncated or has bytes left over.
std::optional<StreamMessage> decodeStreamMessage(QByteArrayView datagram);

}
