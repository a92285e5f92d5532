#pragma once

#include "core/metrics.h"
#include "fabric/peermessagecodec.h"

#include <array>

namespace Rattanpick
{

/// The counters of dropped packets, one for each reason; safe to use from any thread.
class DropCounters
{
public:
    /// Makes the counters "dropped.REASON".
    explicit DropCounters(Metrics &metrics);

    /// Counts one packet.
    void count(DropReason reason)
    {
        m_counters[static_cast<std::size_t>(reason)]->add();
    }

private:
    std::array<Counter *, static_cast<std::size_t>(DropReason::Count)> m_counters{};
};

}
