#pragma once

#include "stream/streamaction.h"
#include "stream/streamagentsettings.h"
#include "stream/targetdirectory.h"

#include <deque>
#include <set>
#include <unordered_map>

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

    /// A target denies the flow.
    Outcome onNotHeld(TimePoint now, const FlowKey &flow, TargetId target);

    /// The packet that the search began with; empty if there is no such search.
    QByteArray packetOf(const FlowKey &flow) const;

    /// Ends the search, if there is one.
    void end(const FlowKey &flow);

    /// Gives up searches that are due: an agent that does not answer may stand beside the target of the flow.
    void onTick(TimePoint now, StreamActions &actions);

    /// Whether a search for the flow is under way.
    bool isSearching(const FlowKey &flow) const
    {
        return m_searches.contains(flow);
    }

private:
    struct Search
    {
        std::set<TargetId> outstanding;
        /// The packet that every agent was given.
        QByteArray packet;
        /// Whether the directory names every target that may hold the flow.
        bool isExhaustive = false;
    };

    void probe(const std::set<TargetId> &targets, const StreamMessage &message, StreamActions &actions) const;

    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    std::unordered_map<FlowKey, Search> m_searches;
    std::deque<std::pair<TimePoint, FlowKey>> m_deadlines;
};

}
