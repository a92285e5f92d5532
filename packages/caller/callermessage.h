#pragma once

#include "core/identifiers.h"
#include "fabric/peermessage.h"

#include <QByteArray>

#include <variant>

namespace Rattanpick
{

/// What a refusal guarantees about the refused work.
enum class Outcome : quint8 {
    /// The flow was not opened.
    NotOpened = 1,
    /// The request has not run and never will run.
    NotRun = 2,
    /// The request may have run, may be running, or may not have run.
    OutcomeUnknown = 3,
};

/// Opens a flow; the caller repeats it until Opened or Refused arrives.
struct Open
{
    /// Random number that the caller chooses for each flow; never 0.
    quint64 nonce = 0;

    bool operator==(const Open &) const = default;
};

/// The flow is open.
struct Opened
{
    quint64 nonce = 0;
    /// Every request of the flow carries this value.
    Incarnation flowIncarnation{};

    bool operator==(const Opened &) const = default;
};

/// Flow data, in either direction.
struct Data
{
    quint64 nonce = 0;
    /// Counts from 1 in each direction. The sender repeats a message until it is acknowledged.
    quint64 sequence = 0;
    QByteArray payload;

    bool operator==(const Data &) const = default;
};

/// Acknowledges flow data.
struct DataAck
{
    quint64 nonce = 0;
    quint64 sequence = 0;

    bool operator==(const DataAck &) const = default;
};

/// A request within an open flow.
struct Request
{
    quint64 nonce = 0;
    /// Counts from 1 within the flow.
    quint64 number = 0;
    bool isIdempotent = false;
    /// Time until the answer is of no more use to the caller, counted from the moment of sending.
    quint32 remainingMilliseconds = 0;
    /// As announced by Opened or Rebound.
    Incarnation flowIncarnation{};
    QByteArray body;

    bool operator==(const Request &) const = default;
};

/// One part of an answer.
struct AnswerPart
{
    /// The most parts of an answer; AnswerAck has one bit per part.
    static constexpr quint16 maximumParts = 64;

    quint64 nonce = 0;
    quint64 number = 0;
    /// From 0 to parts - 1.
    quint16 part = 0;
    quint16 parts = 0;
    QByteArray body;

    bool operator==(const AnswerPart &) const = default;
};

/// Acknowledges the parts of an answer that the caller has received.
struct AnswerAck
{
    quint64 nonce = 0;
    quint64 number = 0;
    /// Bit i is set if part i has arrived.
    quint64 receivedMask = 0;

    bool operator==(const AnswerAck &) const = default;
};

/// The caller no longer wants the answer.
struct Cancel
{
    quint64 nonce = 0;
    quint64 number = 0;

    bool operator==(const Cancel &) const = default;
};

/// Refuses the opening of the flow (number 0) or a request.
struct Refused
{
    quint64 nonce = 0;
    quint64 number = 0;
    RefusalReason reason = RefusalReason::None;
    Outcome outcome = Outcome::OutcomeUnknown;

    bool operator==(const Refused &) const = default;
};

/// Requests the normal end of the flow.
struct Close
{
    quint64 nonce = 0;

    bool operator==(const Close &) const = default;
};

/// The flow was closed normally.
struct Closed
{
    quint64 nonce = 0;

    bool operator==(const Closed &) const = default;
};

/// The flow is broken.
struct Reset
{
    quint64 nonce = 0;
    RefusalReason reason = RefusalReason::None;

    bool operator==(const Reset &) const = default;
};

/// The flow continues under another flow incarnation.
struct Rebound
{
    quint64 nonce = 0;
    Incarnation flowIncarnation{};

    bool operator==(const Rebound &) const = default;
};

/// Prevents the expiry of the flow; answered by Rebound with the current flow incarnation.
struct KeepAlive
{
    quint64 nonce = 0;

    bool operator==(const KeepAlive &) const = default;
};

/// A message between a caller and the system: the UDP payload of an inner packet.
using CallerMessage = std::variant<Open, Opened, Data, DataAck, Request, AnswerPart, AnswerAck, Cancel, Refused, Close, Closed, Reset, Rebound, KeepAlive>;

/// The nonce of the flow that the message belongs to.
inline quint64 nonceOf(const CallerMessage &message)
{
    return std::visit([](const auto &body) { return body.nonce; }, message);
}

}
