#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// The age of the latest verification of a directory, as one process reports it to another.
struct VerificationAge
{
    /// The most times that a verification is passed on. The age does not contain the time that a message is under way; without a limit,
    /// two processes that exchange messages all the time would keep a verification young for ever.
    static constexpr quint8 maximumHopCount = 3;

    /// Time since the source was asked. Too low by the time that the message was under way, for each hop.
    Duration age{};
    /// The number of processes that have passed the verification on; 0 if the sender has asked the source itself.
    quint8 hopCount = 0;

    /// Reads a report from a message.
    static VerificationAge fromWire(quint16 bits);

    /// Milliseconds, rounded up to a multiple of 4, with the hop count in the lowest two bits. Processes of earlier releases read all
    /// bits as milliseconds. The greatest value also stands for longer.
    quint16 toWire() const;

    bool operator==(const VerificationAge &) const = default;
};

}
