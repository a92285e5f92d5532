#pragma once

#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <cstddef>

namespace Rattanpick
{

/// Decides whether this agent's target takes another flow, and what load the agent tells others.
class FlowAdmission
{
public:
    /// What the decision depends on; filled by the agent before each question.
    struct State
    {
        bool isStopping = false;
        bool isDraining = false;
        bool isDataCentreOut = false;
        bool isRecovering = false;
        bool isTargetSilent = false;
        std::size_t ownedFlows = 0;
        std::size_t connectionLimit = 0;
        /// Busy share of the target's full capacity in permille, queue included.
        int requestLoadPermille = 0;
        /// Share of the full capacity that the target bears now, in permille; 1 to 1000.
        int warmPermille = 1000;
        /// Requests that the target runs at the same time.
        std::size_t slotCount = 1;
    };

    /// Time in which the weight of an admitted flow falls to about a third.
    static constexpr Duration pressureDecay = 500ms;
    /// What a flow admitted just now adds to the load told, in permille of one slot: flows tend to
    /// bring work soon, and the load of requests shows it only later.
    static constexpr double flowWeightPermille = 20.0;

    /// A flow has been admitted.
    void onAdmitted(TimePoint now);

    /// Why another flow would not be taken; None if it would.
    static RefusalReason refusal(const State &state);

    /// Load in permille that other agents compare; over 1000 if work waits.
    ///
    /// It is relative to what the target bears now, so that cold targets are given less.
    quint16 loadPermille(TimePoint now, const State &state) const;

private:
    double pressure(TimePoint now) const;

    double m_pressure = 0.0;
    TimePoint m_pressureTime;
};

}
