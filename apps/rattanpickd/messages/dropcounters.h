#pragma once

#include "core/metrics.h"
#include "fabric/peermessagecodec.h"

#include <array>

namespace Rattanpick
{

/// Counters of dropped packets, one for each reason. Thread-safe.
class DropCounters
{
public:
    /// Registers the counters as "dropped.REASON".
    explicit DropCounters(Metrics &metrics);

    void count(DropReason reason)
    {
        m_counters[static_cast<std::size_t>(reason)]->add();
    }

private:
    std::array<Counter *, static_cast<std::size_t>(DropReason::Count)> m_counters{};
};

}
