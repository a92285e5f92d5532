#include "rattanpickd/messages/dropcounters.h"

namespace Rattanpick
{

DropCounters::DropCounters(Metrics &metrics)
{
    for (std::size_t reason = 0; reason < m_counters.size(); ++reason) {
        m_counters[reason] = &metrics.counter(QStringLiteral("dropped.") + QLatin1String(dropReasonName(static_cast<DropReason>(reason))));
    }
}

}
