#pragma once

#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <cstddef>
#include <optional>

namespace Rattanpick
{

/// Decides whether this agent's target takes another flow, and what load the agent tells others.
///
/// The load told is what the flows that the target has are expected to need: their number times the mean need
/// of a flow. The number is exact at once, while the mean of the busy slots follows a new flow late.
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
        /// Requests at the target now.
        std::size_t busySlots = 0;
        /// Recent mean of requests at the target and before it over what the target bears now, in permille.
        int requestLoadPermille = 0;
        /// Share of the full capacity that the target bears now, in permille; 1 to 1000.
        int warmPermille = 1000;
        /// Requests that the target runs at the same time.
        std::size_t slotCount = 1;
    };

    /// After this time an observation of the need of a flow counts for about a third. At 14 requests a second, the
    /// rate of a small target, the estimate then varies by 2 to 3%; 20 s gave 6%.
    static constexpr Duration slotsPerFlowTimeConstant = 60s;
    /// Busy slots that a flow is assumed to need before there are observations.
    static constexpr double assumedSlotsPerFlow = 0.05;
    /// How many observed seconds of one flow outweigh the assumption.
    static constexpr double assumedFlowSeconds = 5.0;

    /// Takes note of the state; to be called at each step of the agent.
    void observe(TimePoint now, const State &state);

    /// Why another flow would not be taken; None if it would.
    static RefusalReason refusal(const State &state);

    /// Load in permille that other agents compare; over 1000 if work waits.
    ///
    /// It is relative to what the target bears now, so that cold targets are given less.
    quint16 loadPermille(const State &state) const;

    /// Busy slots that one flow needs in the mean.
    double meanSlotsPerFlow() const;

private:
    std::optional<TimePoint> m_observedAt;
    std::size_t m_busySlots = 0;
    std::size_t m_flows = 0;
    /// Integrals over time in seconds with exponential forgetting.
    double m_busySeconds = 0.0;
    double m_flowSeconds = 0.0;
};

}
