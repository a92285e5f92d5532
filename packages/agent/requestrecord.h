#pragma once

#include "core/identifiers.h"
#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <QByteArray>

#include <vector>

namespace Rattanpick
{

/// How far a request has come.
enum class RequestState : quint8 {
    /// Cancelled before it arrived; it will not run.
    CancelledBeforeArrival,
    /// Accepted and not yet delivered to the target.
    Queued,
    /// Delivered to the target; neither answered nor refused.
    Delivered,
    /// The whole answer has come from the target.
    Answered,
    /// Refused; it has not run and never will.
    NotRun,
    /// Refused; it may have run.
    OutcomeUnknown,
    /// Handed to another agent; it will not run here, but may run there.
    HandedOver,
};

/// What the owner of a flow remembers about one request number.
struct RequestRecord
{
    quint64 number = 0;
    RequestState state = RequestState::Queued;
    /// The flow incarnation that the request carried; 0 before it has arrived.
    Incarnation flowIncarnation{};
    bool isIdempotent = false;
    /// Handed over by the owner of the flow: this agent cannot promise that it runs nowhere.
    bool isRetried = false;
    /// Why the request was refused.
    RefusalReason reason = RefusalReason::None;
    /// When the answer becomes worthless.
    TimePoint deadline{};
    /// The body, until it is no longer needed for delivery or for handing the request over.
    QByteArray body;

    /// Number of parts of the answer; 0 before the first part.
    quint16 parts = 0;
    /// Bit i is set if part i has come from the target.
    quint64 received = 0;
    /// Bit i is set if the caller has part i.
    quint64 acknowledged = 0;
    /// The parts, by number; empty once the answer is dropped.
    std::vector<QByteArray> answer;
    /// How often the unacknowledged parts have been sent again.
    quint32 repeats = 0;
    /// When an unacknowledged answer is dropped.
    TimePoint keptUntil{};

    /// Whether the target or the queue holds the request.
    bool isInProgress() const
    {
        return state == RequestState::Queued || state == RequestState::Delivered;
    }

    /// Whether the caller has every part of the answer.
    bool isAcknowledged() const
    {
        return state == RequestState::Answered && acknowledged == received;
    }
};

}
