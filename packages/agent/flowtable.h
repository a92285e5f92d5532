#pragma once

#include "core/flowkey.h"
#include "core/identifiers.h"
#include "core/timepoint.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// A flow that is open at the target of this agent.
struct OwnedFlow
{
    FlowKey flow;
    quint64 nonce = 0;
    Incarnation flowIncarnation{};
    /// When the flow ends unless a packet arrives.
    TimePoint idleDeadline;
    /// When the opening is sent to the target again; empty once the target has confirmed it.
    std::optional<TimePoint> targetOpenDeadline;
    /// Whether a packet of the caller has arrived since the opening.
    bool isUsed = false;

    bool operator==(const OwnedFlow &) const = default;
};

/// The flows that an agent owns, and the flows that ended recently.
class FlowTable
{
public:
    /// Maximum number of ended flows on record; with a retention of 60 s this covers about 1,000 ends a second.
    static constexpr std::size_t maximumEnded = 65536;

    // Open flows

    /// Adds a flow; there must be none with its key.
    OwnedFlow &add(const OwnedFlow &flow);

    /// The flow with this key, or null.
    OwnedFlow *find(const FlowKey &key);

    /// The flow with this key and nonce, or null.
    OwnedFlow *find(const FlowKey &key, quint64 nonce);

    /// Removes the flow and records its end until the deadline.
    void end(const FlowKey &key, TimePoint retentionDeadline);

    /// Removes the flow as if it had never been opened here.
    void discard(const FlowKey &key);

    /// The number of open flows.
    std::size_t size() const
    {
        return m_flows.size();
    }

    /// All open flows, unordered.
    const std::unordered_map<FlowKey, OwnedFlow> &flows() const
    {
        return m_flows;
    }

    /// Copies of the flows for which the predicate holds, ordered by key.
    template <typename Predicate>
    std::vector<OwnedFlow> matching(Predicate predicate) const;

    // Ended flows

    /// Records the end of a flow that this agent may not have owned.
    void recordEnd(const FlowKey &key, quint64 nonce, TimePoint retentionDeadline);

    /// Whether a flow with this key and nonce has ended within the retention time.
    bool hasEnded(const FlowKey &key, quint64 nonce) const;

    /// Removes ended flows whose deadline has passed.
    void expireEnded(TimePoint now);

private:
    struct Ended
    {
        quint64 identity = 0;
        TimePoint deadline;
    };

    static quint64 identityOf(const FlowKey &key, quint64 nonce)
    {
        return hashPair(key.hash(), nonce);
    }

    std::unordered_map<FlowKey, OwnedFlow> m_flows;
    std::deque<Ended> m_endedOrder;
    std::unordered_map<quint64, int> m_ended;
};

template <typename Predicate>
std::vector<OwnedFlow> FlowTable::matching(Predicate predicate) const
{
    std::vector<OwnedFlow> result;
    for (const auto &[key, flow] : m_flows) {
        if (predicate(flow)) {
            result.push_back(flow);
        }
    }
    // The iteration order of a hash table must not affect the order of actions.
    std::sort(result.begin(), result.end(), [](const OwnedFlow &a, const OwnedFlow &b) { return a.flow < b.flow; });
    return result;
}

}
