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

/// Queues are twice the slots, so from this load on every new request would be shed.
constexpr int fullLoadPermille = 3000;

}

void FlowAdmission::onAdmitted(TimePoint now)
{
    m_pressure = pressure(now) + 1.0;
    m_pressureTime = now;
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

quint16 FlowAdmission::loadPermille(TimePoint now, const State &state) const
{
    RP_ASSERT(state.warmPermille > 0 && state.warmPermille <= 1000);
    RP_ASSERT(state.slotCount > 0);
    const double share = state.warmPermille / 1000.0;
    const double recent = pressure(now) * flowWeightPermille / (static_cast<double>(state.slotCount) * share);
    const double requests = state.requestLoadPermille / share;
    const double flows = state.connectionLimit == 0 ? 0.0 : 1000.0 * static_cast<double>(state.ownedFlows) / static_cast<double>(state.connectionLimit);
    const double load = std::max(requests + recent, flows);
    return static_cast<quint16>(std::min<double>(load, std::numeric_limits<quint16>::max()));
}

double FlowAdmission::pressure(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_pressureTime) / std::chrono::duration<double>(pressureDecay);
    return m_pressure * std::exp(-std::max(0.0, elapsed));
}

}
