#pragma once

#include "core/identifiers.h"
#include "fabric/peermessage.h"

#include <QByteArray>

#include <variant>

namespace Rattanpick
{

/// What a refusal promises about the work refused.
enum class Outcome : quint8 {
    /// The flow was not opened.
    NotOpened = 1,
    /// The request has not run and never will.
    NotRun = 2,
    /// The request may have run, may be running, or may not have run.
    OutcomeUnknown = 3,
};

/// Opens a flow; repeated by the caller until Opened or Refused arrives.
struct Open
{
    /// Chosen at random by the caller for each flow; never 0.
    quint64 nonce = 0;

    bool operator==(const Open &) const = default;
};

/// The flow is open.
struct Opened
{
    quint64 nonce = 0;
    /// To be echoed in every request of the flow.
    Incarnation flowIncarnation{};

    bool operator==(const Opened &) const = default;
};

/// Flow data, in either direction.
struct Data
{
    quint64 nonce = 0;
    /// From 1 in each direction; repeated by the sender until acknowledged.
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
    /// Rises by 1 within the flow, from 1.
    quint64 number = 0;
    bool isIdempotent = false;
    /// Milliseconds until the answer is worthless, counted from the moment of sending.
    quint32 remainingMilliseconds = 0;
    /// As learned from Opened or Rebound.
    Incarnation flowIncarnation{};
    QByteArray body;

    bool operator==(const Request &) const = default;
};

/// One part of an answer.
struct AnswerPart
{
    /// The most parts of an answer; AnswerAck has one bit for each.
    static constexpr quint16 maximumParts = 64;

    quint64 nonce = 0;
    quint64 number = 0;
    /// From 0 to parts - 1.
    quint16 part = 0;
    quint16 parts = 0;
    QByteArray body;

    bool operator==(const AnswerPart &) const = default;
};

/// Tells which parts of an answer the caller has.
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

/// An opening (number 0) or a request is refused.
struct Refused
{
    quint64 nonce = 0;
    quint64 number = 0;
    RefusalReason reason = RefusalReason::None;
    Outcome outcome = Outcome::OutcomeUnknown;

    bool operator==(const Refused &) const = default;
};

/// Ends the flow in the ordinary way.
struct Close
{
    quint64 nonce = 0;

    bool operator==(const Close &) const = default;
};

/// The flow has ended in the ordinary way.
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

/// The flow lives on under another flow incarnation.
struct Rebound
{
    quint64 nonce = 0;
    Incarnation flowIncarnation{};

    bool operator==(const Rebound &) const = default;
};

/// Keeps the flow known; answered with Rebound, which repeats the current flow incarnation.
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
