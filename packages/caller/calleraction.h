#pragma once

#include "caller/callermessage.h"

#include <QByteArray>

#include <variant>
#include <vector>

namespace Rattanpick
{

/// How a request ended. Each request of a session ends exactly once.
enum class RequestEnding : quint8 {
    /// The complete answer has arrived.
    Answered,
    /// The request has not run and never will run.
    NotRun,
    /// The request may have run, may be running, or may not have run.
    OutcomeUnknown,
};

/// Send a message to the service.
struct SendToService
{
    CallerMessage message;

    bool operator==(const SendToService &) const = default;
};

/// The flow is open: data and requests may be sent.
struct FlowIsOpen
{
    bool operator==(const FlowIsOpen &) const = default;
};

/// The flow was not opened; the reason is None if no answer arrived in time.
struct FlowIsRefused
{
    RefusalReason reason = RefusalReason::None;

    bool operator==(const FlowIsRefused &) const = default;
};

/// The flow was closed normally.
struct FlowIsClosed
{
    bool operator==(const FlowIsClosed &) const = default;
};

/// The flow is broken; the reason is None if nothing was received for too long.
struct FlowIsBroken
{
    RefusalReason reason = RefusalReason::None;

    bool operator==(const FlowIsBroken &) const = default;
};

/// Flow data has arrived; each message is delivered exactly once and in order.
struct DataArrived
{
    quint64 sequence = 0;
    QByteArray payload;

    bool operator==(const DataArrived &) const = default;
};

/// A request has ended.
struct RequestEnded
{
    /// The number that sendRequest() returned.
    quint64 request = 0;
    RequestEnding ending = RequestEnding::OutcomeUnknown;
    /// Why the request was not answered; None if it was.
    RefusalReason reason = RefusalReason::None;
    /// The complete answer; empty if there is none.
    QByteArray body;

    bool operator==(const RequestEnded &) const = default;
};

/// A message that the process has to send for the session, or an event that the session reports.
using CallerAction = std::variant<SendToService, FlowIsOpen, FlowIsRefused, FlowIsClosed, FlowIsBroken, DataArrived, RequestEnded>;

/// Actions, to be executed in this order.
using CallerActions = std::vector<CallerAction>;

}
