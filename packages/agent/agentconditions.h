#pragma once

#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <optional>

namespace Rattanpick
{

/// State that decides whether an agent accepts work, derived from the configuration, the instance list and its target.
struct AgentConditions
{
    /// The data centre of this process is out under the configuration in force.
    bool isDataCentreOut = false;
    /// The configuration document drains the target or no longer contains it.
    bool isDocumentDraining = false;
    /// The instance list shows this instance as leaving.
    bool isListedLeaving = false;
    /// The target itself has reported that it is draining.
    bool isTargetDraining = false;
    /// Earliest time at which a planned stop may end; set once the stop has begun.
    std::optional<TimePoint> stopDeadline;
    /// When the remaining flows are broken after the data centre was taken out.
    std::optional<TimePoint> fenceDeadline;
    /// Latest end of the quarantine after a pause; unset outside a quarantine.
    std::optional<TimePoint> quarantineDeadline;
    /// Earliest end of the quarantine after a pause.
    std::optional<TimePoint> minimumQuarantineDeadline;
    /// When the target is considered silent unless a message arrives from it.
    TimePoint targetSilenceDeadline;

    /// Whether the document, the instance list or the target has requested a drain.
    bool isDraining() const
    {
        return isDocumentDraining || isListedLeaving || isTargetDraining;
    }

    /// Whether packets are dropped because the process was paused and its state may be outdated.
    bool isQuarantined() const
    {
        return quarantineDeadline.has_value();
    }

    /// The reason to refuse new requests; None if they are accepted.
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
