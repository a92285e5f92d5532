#pragma once

#include <QByteArrayView>
#include <QtGlobal>

#include <cstddef>

namespace Rattanpick
{

/// Identifies a service: the 32-bit hash of its name in the document. 0 means none.
enum class ServiceId : quint32 {};

/// Identifies a target: the 32-bit hash of its name in the document. 0 means none.
enum class TargetId : quint32 {};

/// Distinguishes incarnations of a process or flow, such as before and after a restart. Random; 0 means unknown.
enum class Incarnation : quint64 {};

/// 64-bit xxHash of the bytes.
quint64 hashBytes(QByteArrayView bytes, quint64 seed = 0);

/// 64-bit hash of two numbers, used for rendezvous hashing.
quint64 hashPair(quint64 first, quint64 second);

/// The identifier for a service name; never 0.
ServiceId serviceIdOf(QByteArrayView name);

/// The identifier for a target name; never 0.
TargetId targetIdOf(QByteArrayView name);

}
