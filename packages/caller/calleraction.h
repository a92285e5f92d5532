#pragma once

#include "caller/callermessage.h"

#include <QByteArray>

#include <variant>
#include <vector>

namespace Rattanpick
{

/// How a request has ended; each request of a session ends exactly once.
enum class RequestEnding : quint8 {
    /// The whole answer has come.
    Answered,
    /// The request has not run and never will.
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

/// The flow was not opened; the reason is None if nobody answered in time.
struct FlowIsRefused
{
    RefusalReason reason = RefusalReason::None;

    bool operator==(const FlowIsRefused &) const = default;
};

/// The flow has ended in the ordinary way.
struct FlowIsClosed
{
    bool operator==(const FlowIsClosed &) const = default;
};

/// The flow is broken; the reason is None if nothing was heard for too long.
struct FlowIsBroken
{
    RefusalReason reason = RefusalReason::None;

    bool operator==(const FlowIsBroken &) const = default;
};

/// Flow data has arrived; given out once each and in order.
struct DataArrived
{
    quint64 sequence = 0;
    QByteArray payload;

    bool operator==(const DataArrived &) const = default;
};

/// A request has ended.
struct RequestEnded
{
    /// As sendRequest() returned it.
    quint64 request = 0;
    RequestEnding ending = RequestEnding::OutcomeUnknown;
    /// Why it was not answered; None if it was.
    RefusalReason reason = RefusalReason::None;
    /// The whole answer; empty if there is none.
    QByteArray body;

    bool operator==(const RequestEnded &) const = default;
};

/// What a session asks its process to do, and what it tells it.
using CallerAction = std::variant<SendToService, FlowIsOpen, FlowIsRefused, FlowIsClosed, FlowIsBroken, DataArrived, RequestEnded>;

/// Actions in the order in which they are to be carried out.
using CallerActions = std::vector<CallerAction>;

}
