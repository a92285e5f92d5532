#include "agent/flowadmission.h"

#include "core/assertion.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace Rattanpick
{

namespace
{

/// Queues hold twice as many requests as there are slots, so from this load on every new request would be shed.
constexpr int fullLoadPermille = 3000;

}

void FlowAdmission::observe(TimePoint now, const State &state)
{
    if (m_observedAt) {
        using Seconds = std::chrono::duration<double>;
        const double elapsed = std::chrono::duration_cast<Seconds>(std::max(now - *m_observedAt, Duration::zero())).count();
        const double kept = std::exp(-elapsed / std::chrono::duration_cast<Seconds>(slotsPerFlowTimeConstant).count());
        m_busySeconds = m_busySeconds * kept + static_cast<double>(m_busySlots) * elapsed;
        m_flowSeconds = m_flowSeconds * kept + static_cast<double>(m_flows) * elapsed;
    }
    m_observedAt = now;
    m_busySlots = state.busySlots;
    m_flows = state.ownedFlows;
}

RefusalReason FlowAdmission::refusal(const State &state)
{
    const std::array<std::pair<bool, RefusalReason>, 7> rules{{
        {state.isDataCentreOut, RefusalReason::DataCentreOut},
        {state.isStopping, RefusalReason::Stopping},
        {state.isDraining, RefusalReason::Draining},
        {state.isRecovering, RefusalReason::Recovering},
        {state.isTargetSilent, RefusalReason::NoTarget},
        {state.ownedFlows >= state.connectionLimit, RefusalReason::ConnectionLimit},
        {state.requestLoadPermille >= fullLoadPermille, RefusalReason::Overloaded},
    }};
    for (const auto &[applies, reason] : rules) {
        if (applies) {
            return reason;
        }
    }
    return RefusalReason::None;
}

quint16 FlowAdmission::loadPermille(const State &state) const
{
    RP_ASSERT(state.warmPermille > 0 && state.warmPermille <= 1000);
    RP_ASSERT(state.slotCount > 0);
    const double flows = static_cast<double>(state.ownedFlows);
    const double availableSlots = static_cast<double>(state.slotCount) * state.warmPermille / 1000.0;
    // The next flow is included, since it adds more load to a slow target than to a fast one; it goes to the target
    // that has the lowest load with it.
    const double expected = 1000.0 * (flows + 1.0) * meanSlotsPerFlow() / availableSlots;
    const double connections = state.connectionLimit == 0 ? 0.0 : 1000.0 * flows / static_cast<double>(state.connectionLimit);
    // Queued work above the capacity is not explained by the mean number of slots per flow.
    const double overload = state.requestLoadPermille - 1000.0;
    const double load = std::max({expected, connections, overload});
    return static_cast<quint16>(std::min<double>(load, std::numeric_limits<quint16>::max()));
}

double FlowAdmission::meanSlotsPerFlow() const
{
    return (m_busySeconds + assumedSlotsPerFlow * assumedFlowSeconds) / (m_flowSeconds + assumedFlowSeconds);
}

}
