#pragma once

#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <optional>

namespace Rattanpick
{

/// The conditions under which an agent takes work, from the configuration, the instance list and its target.
struct AgentConditions
{
    /// The data centre of this process is out under the configuration in force.
    bool isDataCentreOut = false;
    /// The document drains the target or no longer names it.
    bool isDocumentDraining = false;
    /// The instance list shows this instance as leaving.
    bool isListedLeaving = false;
    /// The target itself says that it drains.
    bool isTargetDraining = false;
    /// When a planned stop may end at the earliest; set once the stop has begun.
    std::optional<TimePoint> stopDeadline;
    /// When flows are given up after the data centre was taken out.
    std::optional<TimePoint> fenceDeadline;
    /// Until when packets are refused after a pause, at the latest.
    std::optional<TimePoint> quarantineDeadline;
    /// Until when packets are refused after a pause, at the earliest.
    std::optional<TimePoint> minimumQuarantineDeadline;
    /// When the target counts as silent.
    TimePoint targetSilenceDeadline;

    /// Whether anybody has asked for a drain.
    bool isDraining() const
    {
        return isDocumentDraining || isListedLeaving || isTargetDraining;
    }

    /// Whether packets are refused since the process was paused.
    bool isQuarantined() const
    {
        return quarantineDeadline.has_value();
    }

    /// Why new requests are refused; None if they are taken.
    RefusalReason requestRefusal() const
    {
        if (isDataCentreOut) {
            return RefusalReason::DataCentreOut;
        }
        if (stopDeadline) {
            return RefusalReason::Stopping;
        }
        return isDraining() ? RefusalReason::Draining : RefusalReason::None;
    }
};

}
