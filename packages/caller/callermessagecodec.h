#pragma once

#include "caller/callermessage.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// The largest encoded caller message, in bytes.
inline constexpr qsizetype maximumCallerMessageSize = 1200;

/// The UDP payload for the message (QDataStream, big endian, version Qt_6_4, first byte is the kind).
QByteArray encodeCallerMessage(const CallerMessage &message);

/// The message in a UDP payload; nothing if it is truncated, too long, of unknown kind or followed by other bytes.
std::optional<CallerMessage> decodeCallerMessage(QByteArrayView payload);

}
