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

/// Finds the target of a flow that a balancer does not know: asks the agents of all targets that may hold it.
class FlowSearch
{
public:
    /// How a search ended.
    enum class Outcome : quint8 {
        /// Answers are outstanding.
        Pending,
        /// A target holds the flow.
        Found,
        /// Every target that may hold the flow denies it.
        HeldByNone,
    };

    /// Builds a search desk; both references must outlive it.
    FlowSearch(const StreamAgentSettings &settings, const TargetDirectory &directory);

    /// Searches for the flow of a packet: a new search gives it to all agents but the own one, a search under way to those
    /// that have not answered. @p isOwnAsked tells that the target beside this process is asked too.
    void begin(TimePoint now, const FlowKey &flow, const StreamMessage &message, bool isOwnAsked, StreamActions &actions);

    /// A target denies the flow. @p isUnsettled: its agent knows of targets whose entries are missing and may be back; then
    /// the search cannot show that no target holds the flow.
    Outcome onNotHeld(TimePoint now, const FlowKey &flow, TargetId target, bool isUnsettled = false);

    /// The packet that the search began with; empty if there is no such search.
    QByteArray packetOf(const FlowKey &flow) const;

    /// Ends the search, if there is one.
    void end(const FlowKey &flow);

    /// Gives up searches that are due: an agent that does not answer may stand beside the target of the flow.
    void onTick(TimePoint now, StreamActions &actions);

    /// The flows whose search ended since the last unlisted targets have not answered in time: no target holds them.
    std::vector<FlowKey> takeDenied(TimePoint now);

    /// When takeDenied() has something to tell next.
    TimePoint nextDeadline() const
    {
        return m_verdicts.empty() ? TimePoint::max() : m_verdicts.front().first;
    }

    /// Whether a search for the flow is under way.
    bool isSearching(const FlowKey &flow) const
    {
        return m_searches.contains(flow);
    }

private:
    struct Search
    {
        std::set<TargetId> outstanding;
        /// Targets whose entries have gone for good; one of them may live all the same, cut off from the directory's source.
        std::set<TargetId> unlisted;
        TimePoint unlistedDeadline{};
        /// The packet that every agent was given.
        QByteArray packet;
        /// Whether the directory names every target that may hold the flow.
        bool isExhaustive = false;
    };

    bool hasBudget(TimePoint now);
    bool isDenied(TimePoint now, const Search &search) const;
    void probe(const std::set<TargetId> &targets, const StreamMessage &message, StreamActions &actions) const;

    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    std::unordered_map<FlowKey, Search> m_searches;
    std::deque<std::pair<TimePoint, FlowKey>> m_deadlines;
    /// Searches that wait for unlisted targets alone.
    std::deque<std::pair<TimePoint, FlowKey>> m_verdicts;
    /// Probes that may be sent now; below 0 after a search that took more than was left.
    double m_budget = 0;
    TimePoint m_budgetAt{};
};

}
