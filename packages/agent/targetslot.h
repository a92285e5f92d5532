#pragma once

#include "agent/requestqueue.h"
#include "core/timepoint.h"
#include "fabric/peermessage.h"

namespace Rattanpick
{

/// A slot of the target that a delivered request takes.
///
/// It outlives the record of the request when the outcome is told or the flow ends before the target is done.
struct TargetSlot
{
    RequestId id;
    TimePoint deliveredAt{};
    /// Whether other requests were at the target when this one was delivered.
    bool isOverlapping = false;
    /// When the request is cancelled unless it has ended.
    TimePoint deadline{};
    /// The flow has ended: what the target still sends concerns no request of the table.
    bool isDetached = false;
    bool isCancelling = false;
    /// Why it is being cancelled: Cancelled by the caller, or TargetTimeout.
    RefusalReason cancelReason = RefusalReason::None;
    /// When the outcome is told as unknown, the cancellation repeated, and the slot freed; set while cancelling.
    TimePoint reportAt{};
    TimePoint repeatAt{};
    TimePoint releaseAt{};
    /// Number of parts and those that have come, to see when the target is done.
    quint16 parts = 0;
    quint64 received = 0;

    /// Whether every part of the answer has come.
    bool isComplete() const
    {
        return parts != 0 && received == maskOf(parts);
    }

    /// One bit for each of @p count parts; @p count is in 1 to 64.
    static quint64 maskOf(quint16 count)
    {
        return ~quint64{0} >> (64 - count);
    }
};

}
