#pragma once

#include "core/identifiers.h"
#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <QByteArray>

#include <vector>

namespace Rattanpick
{

/// The progress of a request.
enum class RequestState : quint8 {
    /// Cancelled before it arrived; it will not run.
    CancelledBeforeArrival,
    /// Accepted and not yet delivered to the target.
    Queued,
    /// Delivered to the target; neither answered nor refused.
    Delivered,
    /// The whole answer has arrived from the target.
    Answered,
    /// Refused; it has not run and will not run.
    NotRun,
    /// Refused; it may have run.
    OutcomeUnknown,
    /// Handed to another agent; it will not run here, but may run there.
    HandedOver,
};

/// The state of one request number of a flow.
struct RequestRecord
{
    quint64 number = 0;
    RequestState state = RequestState::Queued;
    /// The flow incarnation that the request carried; 0 before it has arrived.
    Incarnation flowIncarnation{};
    bool isIdempotent = false;
    /// Handed over by the owner of the flow: this agent cannot guarantee that it runs nowhere else.
    bool isRetried = false;
    /// Why the request was refused.
    RefusalReason reason = RefusalReason::None;
    /// When the caller no longer accepts the answer.
    TimePoint deadline{};
    /// The body, kept as long as it may be needed for delivery or for a hand-over.
    QByteArray body;

    /// Number of parts of the answer; 0 before the first part.
    quint16 parts = 0;
    /// Bit i is set if part i has arrived from the target.
    quint64 received = 0;
    /// Bit i is set if the caller has acknowledged part i.
    quint64 acknowledged = 0;
    /// The parts, by number; empty once the answer is dropped.
    std::vector<QByteArray> answer;
    /// Number of retransmissions of the unacknowledged parts.
    quint32 repeats = 0;
    /// When an unacknowledged answer is dropped.
    TimePoint keptUntil{};

    /// Whether the request is queued or at the target.
    bool isInProgress() const
    {
        return state == RequestState::Queued || state == RequestState::Delivered;
    }

    /// Whether the caller has acknowledged every part of the answer.
    bool isAcknowledged() const
    {
        return state == RequestState::Answered && acknowledged == received;
    }
};

}
