#pragma once

#include "core/flowkey.h"

#include <QByteArray>
#include <QDataStream>
#include <QIODevice>

#include <limits>

namespace Rattanpick
{

/// The QDataStream version of all datagrams of the system.
inline constexpr QDataStream::Version wireVersion = QDataStream::Qt_6_4;

/// Maximum length of a byte string within a datagram.
inline constexpr qsizetype maximumWireBytes = std::numeric_limits<quint16>::max();

// Values; QDataStream itself serialises identifiers and other enumerations as their underlying numbers

/// Marks the stream as corrupt unless the condition is true; preserves an earlier error.
void requireWire(QDataStream &stream, bool condition);

/// Reads a boolean; any byte other than 0 and 1 marks the stream as corrupt.
void readWireBool(QDataStream &stream, bool &value);

/// Writes a 16-bit length followed by the bytes.
void writeWireBytes(QDataStream &stream, const QByteArray &bytes);

/// Reads the output of writeWireBytes(); never allocates more than 65,535 bytes.
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
