#pragma once

#include "stream/streamaction.h"
#include "stream/streamagentsettings.h"
#include "stream/targetdirectory.h"

#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Finds the target of a flow that a balancer has no entry for by probing the agents of all targets that may hold it.
class FlowLookup
{
public:
    /// Result of a step of a lookup.
    enum class Outcome : quint8 {
        /// Some agents have not answered yet.
        Pending,
        /// A target holds the flow.
        Found,
        /// Every target that might hold the flow has denied it.
        NotHeldByAny,
    };

    /// Builds the lookup table; both references must outlive it.
    FlowLookup(const StreamAgentSettings &settings, const TargetDirectory &directory);

    /// Looks up the flow of a packet. A new lookup probes all agents but the own one; a pending lookup probes the
    /// agents that have not answered yet. @p includesOwnTarget: the local target is probed too.
    void begin(TimePoint now, const FlowKey &flow, const StreamMessage &message, bool includesOwnTarget, StreamActions &actions);

    /// Processes the denial of a target. @p isUnsettled: its agent has targets whose entries are missing and may
    /// return, so that the lookup cannot prove that no target holds the flow.
    Outcome onNotHeld(TimePoint now, const FlowKey &flow, TargetId target, bool isUnsettled = false);

    /// The packet that started the lookup; empty if there is none.
    QByteArray packetOf(const FlowKey &flow) const;

    /// Ends the lookup, if there is one.
    void end(const FlowKey &flow);

    /// Aborts lookups that have timed out: the target of the flow may belong to an agent that does not answer.
    void onTick(TimePoint now, StreamActions &actions);

    /// Takes the flows that no target holds, because the remaining unlisted targets have not answered in time either.
    std::vector<FlowKey> takeUnheldFlows(TimePoint now);

    /// When takeUnheldFlows() has a result next.
    TimePoint nextDeadline() const
    {
        return m_unlistedDeadlines.empty() ? TimePoint::max() : m_unlistedDeadlines.front().first;
    }

    /// Whether a lookup of the flow is pending.
    bool hasLookup(const FlowKey &flow) const
    {
        return m_lookups.contains(flow);
    }

private:
    struct Lookup
    {
        std::set<TargetId> outstanding;
        /// Targets whose entries have been removed for good. Such a target may still be alive but cut off from the
        /// source of the directory.
        std::set<TargetId> unlisted;
        TimePoint unlistedDeadline{};
        /// The packet that is sent with every probe.
        QByteArray packet;
        /// Whether the directory lists every target that may hold the flow.
        bool isExhaustive = false;
    };

    bool hasBudget(TimePoint now);
    bool isConclusive(TimePoint now, const Lookup &lookup) const;
    void probe(const std::set<TargetId> &targets, const StreamMessage &message, StreamActions &actions) const;

    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    std::unordered_map<FlowKey, Lookup> m_lookups;
    std::deque<std::pair<TimePoint, FlowKey>> m_deadlines;
    /// Lookups that wait for unlisted targets only.
    std::deque<std::pair<TimePoint, FlowKey>> m_unlistedDeadlines;
    /// Probes that may be sent now; negative after a lookup that needed more than was left.
    double m_budget = 0;
    TimePoint m_budgetAt{};
};

}
