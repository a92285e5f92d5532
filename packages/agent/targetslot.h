#pragma once

#include "agent/requestqueue.h"
#include "core/timepoint.h"
#include "fabric/peermessage.h"

namespace Rattanpick
{

/// A slot of the target that a delivered request occupies.
///
/// It stays occupied if the outcome is reported or the flow ends before the target has finished.
struct TargetSlot
{
    RequestId id;
    TimePoint deliveredAt{};
    /// Whether the target had other requests when this one was delivered.
    bool isOverlapping = false;
    /// When the request is cancelled unless it has ended.
    TimePoint deadline{};
    /// The flow has ended: later messages of the target belong to no request of the table.
    bool isDetached = false;
    bool isCancelling = false;
    /// Reason of the cancellation: Cancelled by the caller, or TargetTimeout.
    RefusalReason cancelReason = RefusalReason::None;
    /// When the outcome is reported as unknown, the cancellation repeated, and the slot freed; set while cancelling.
    TimePoint reportAt{};
    TimePoint repeatAt{};
    TimePoint releaseAt{};
    /// Number of parts, and a bit mask of those that have arrived, to detect the end of the answer.
    quint16 parts = 0;
    quint64 received = 0;

    /// Whether every part of the answer has arrived.
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
