#pragma once

#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <cstddef>
#include <optional>

namespace Rattanpick
{

/// Decides whether this agent's target accepts another flow, and computes the load that the agent advertises.
///
/// The advertised load is the number of open flows times the mean number of busy slots per flow. The number of flows
/// changes at once, while a mean of the busy slots would reflect a new flow only after a delay.
class FlowAdmission
{
public:
    /// Input of the decision; filled by the agent before each call.
    struct State
    {
        bool isStopping = false;
        bool isDraining = false;
        bool isDataCentreOut = false;
        bool isRecovering = false;
        bool isTargetSilent = false;
        std::size_t ownedFlows = 0;
        std::size_t connectionLimit = 0;
        /// Requests at the target at present.
        std::size_t busySlots = 0;
        /// Recent mean of running and queued requests relative to the permitted capacity, in permille.
        int requestLoadPermille = 0;
        /// Share of the full capacity that is permitted at present, in permille; 1 to 1000.
        int warmPermille = 1000;
        /// Maximum number of requests that the target runs concurrently.
        std::size_t slotCount = 1;
    };

    /// Time constant of the estimate of busy slots per flow. At 14 requests a second, the rate of a small target, the
    /// estimate then varies by 2 to 3%, and with 20 s by 6%.
    static constexpr Duration slotsPerFlowTimeConstant = 60s;
    /// Busy slots per flow that are assumed before there are observations.
    static constexpr double assumedSlotsPerFlow = 0.05;
    /// Weight of the assumption, in observed seconds of one flow.
    static constexpr double assumedFlowSeconds = 5.0;

    /// Updates the estimate from the state; called at each step of the agent.
    void observe(TimePoint now, const State &state);

    /// The reason to refuse another flow; None if it would be accepted.
    static RefusalReason refusal(const State &state);

    /// The advertised load in permille that other agents compare; above 1000 if work is queued.
    ///
    /// It is relative to the capacity that is permitted at present, so that cold targets receive fewer flows.
    quint16 loadPermille(const State &state) const;

    /// The mean number of busy slots per flow.
    double meanSlotsPerFlow() const;

private:
    std::optional<TimePoint> m_observedAt;
    std::size_t m_busySlots = 0;
    std::size_t m_flows = 0;
    /// Integrals over time in seconds with exponential decay.
    double m_busySeconds = 0.0;
    double m_flowSeconds = 0.0;
};

}
