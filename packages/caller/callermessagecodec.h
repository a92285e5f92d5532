#pragma once

#include "caller/callermessage.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// The largest encoded caller message, in bytes.
inline constexpr qsizetype maximumCallerMessageSize = 1200;

/// The largest Data::payload, in bytes.
inline constexpr qsizetype maximumDataPayloadSize = maximumCallerMessageSize - 19;

/// The largest Request::body, in bytes.
inline constexpr qsizetype maximumRequestBodySize = maximumCallerMessageSize - 32;

/// The largest AnswerPart::body, in bytes.
inline constexpr qsizetype maximumAnswerBodySize = maximumCallerMessageSize - 23;

/// Encodes the message as a UDP payload (QDataStream, big endian, version Qt_6_4); the first byte is the kind.
///
/// The encoded size must not exceed maximumCallerMessageSize.
QByteArray encodeCallerMessage(const CallerMessage &message);

/// Decodes a UDP payload; nothing if it is truncated, too long, of unknown kind or followed by other bytes.
///
/// Values that no sender produces are rejected too: a nonce, number, sequence or announced flow incarnation
/// of 0, an unknown reason or outcome, a flag other than 0 or 1, and a part number that is not below the
/// number of parts. Refused::number may be 0; Request::flowIncarnation is checked by the receiver.
std::optional<CallerMessage> decodeCallerMessage(QByteArrayView payload);

}
