#pragma once

#include "core/flowkey.h"

#include <QByteArray>
#include <QDataStream>
#include <QIODevice>

#include <limits>

namespace Rattanpick
{

/// The version of QDataStream that every datagram of the system uses.
inline constexpr QDataStream::Version wireVersion = QDataStream::Qt_6_4;

/// The longest byte string within a datagram.
inline constexpr qsizetype maximumWireBytes = std::numeric_limits<quint16>::max();

// Values; QDataStream itself writes identifiers and other enumerations as their numbers

/// Marks the stream as corrupt unless the condition holds; an earlier error is kept.
void requireWire(QDataStream &stream, bool condition);

/// Reads a truth value; any byte but 0 and 1 marks the stream as corrupt.
void readWireBool(QDataStream &stream, bool &value);

/// Writes a 16-bit length and the bytes.
void writeWireBytes(QDataStream &stream, const QByteArray &bytes);

/// Reads what writeWireBytes() wrote; never allocates more than 65,535 bytes.
void readWireBytes(QDataStream &stream, QByteArray &bytes);

// Addresses

/// Writes the address (32 bits) and port (16 bits).
QDataStream &operator<<(QDataStream &stream, const Endpoint &endpoint);

/// Reads the address (32 bits) and port (16 bits).
QDataStream &operator>>(QDataStream &stream, Endpoint &endpoint);

/// Writes caller, service and protocol (8 bits).
QDataStream &operator<<(QDataStream &stream, const FlowKey &flow);

/// Reads caller, service and protocol (8 bits).
QDataStream &operator>>(QDataStream &stream, FlowKey &flow);

}
