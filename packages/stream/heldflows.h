#pragma once

#include "core/flowkey.h"
#include "stream/flowretention.h"
#include "stream/heldflow.h"
#include "stream/segment.h"

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Rattanpick
{

/// The flows of the local target that an agent has a record of, and when they are checked for expiry.
class HeldFlows
{
public:
    using Map = std::unordered_map<FlowKey, HeldFlow>;

    /// Builds an empty table; @p retention must outlive it.
    explicit HeldFlows(FlowRetention &retention);

    /// The flow, or null.
    HeldFlow *find(const FlowKey &key);

    /// The flow, unless the target has not confirmed yet that it holds it.
    const HeldFlow *findConfirmed(const FlowKey &key);

    /// The flow, which is added if there is none.
    HeldFlow &operator[](const FlowKey &key)
    {
        return m_flows[key];
    }

    void erase(const FlowKey &key)
    {
        m_flows.erase(key);
    }

    /// A segment of the flow has passed.
    void recordActivity(TimePoint now, const FlowKey &key, HeldFlow &flow);

    /// The flows that have expired now; the caller removes them. Those that may still be in use are recorded as unknown.
    std::vector<FlowKey> takeExpired(TimePoint now);

    /// Whether a segment of the caller belongs to the flow, and not to another one between these endpoints.
    static bool isOf(const HeldFlow &flow, const Segment &segment);

    std::size_t size() const
    {
        return m_flows.size();
    }

    Map::const_iterator begin() const
    {
        return m_flows.begin();
    }

    Map::const_iterator end() const
    {
        return m_flows.end();
    }

private:
    FlowRetention &m_retention;
    Map m_flows;
    /// When each flow is checked for expiry, ordered by time.
    std::deque<std::pair<TimePoint, FlowKey>> m_checks;
};

}
