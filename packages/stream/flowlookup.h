#pragma once

#include "stream/flowposition.h"
#include "stream/silentagents.h"
#include "stream/streamaction.h"
#include "stream/streamagentsettings.h"
#include "stream/targetdirectory.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Finds the target of a flow that a balancer has no entry for by probing the agents of all targets that may hold it.
///
/// Each packet of such a flow asks for a round of probes. A target that has denied the flow is not asked again by later
/// rounds. Rounds begin in the order in which they were asked for, as the budget of probes allows; until its round begins,
/// a packet is sent nowhere, since a packet that reaches some of the targets only may miss its own each time.
class FlowLookup
{
public:
    /// Result of a step of a lookup.
    enum class Outcome : quint8 {
        /// Some targets have not answered yet, or there is no lookup.
        Pending,
        /// Every target that might hold the flow has denied it.
        NotHeldByAny,
        /// The same, but this process does not know all targets yet, and another agent does.
        KnownElsewhere,
    };

    /// A round that has begun; the caller asks the local target, or denies the flow for it.
    struct Round
    {
        FlowKey flow;
        /// The latest packet of the flow.
        StreamMessage message;
        /// Whether the local target has not denied the flow yet.
        bool isOwnTargetAsked = false;
    };

    /// Builds the lookup table; both references must outlive it.
    FlowLookup(const StreamAgentSettings &settings, const TargetDirectory &directory);

    /// Asks for a round of the flow of a packet, which shows the position. @p isDeniedByOwnTarget: the local target does not
    /// hold the flow.
    void
    request(TimePoint now, const FlowKey &flow, const FlowPosition &position, const StreamMessage &message, bool isDeniedByOwnTarget, StreamActions &actions);

    /// Begins the next round, if one is asked for and the budget allows it.
    std::optional<Round> takeRound(TimePoint now, StreamActions &actions);

    /// Processes the denial of a target.
    Outcome onNotHeld(TimePoint now, const StreamMessage &denial);

    /// Processes the denial of the local target. @p isUncertain: it has not been asked, since no configuration is known that
    /// lets the flow use its service.
    Outcome onNotHeldByOwnTarget(TimePoint now, const FlowKey &flow, bool isUncertain = false);

    /// A target has ended, as the directory tells. Returns the lookups that have waited for it, and what becomes of them.
    std::vector<std::pair<FlowKey, Outcome>> onTargetEnded(TimePoint now);

    /// Processes any message of the agent: rounds that have left it out are repeated.
    void onAgentMessage(TimePoint now, const Endpoint &agent);

    /// A message shows that a version of the configuration exists; no lookup ends in a reset before this process has read it.
    void recordVersion(quint64 version)
    {
        m_latestVersion = std::max(m_latestVersion, version);
    }

    /// Whether this process has read the latest version of the configuration that any message has shown.
    bool hasLatestRoutes() const;

    /// Whether this process knows all targets that may hold flows, including those that live without an entry and those of
    /// services that routes have used before.
    bool knowsAllTargets(TimePoint now) const;

    /// The latest packet of a flow that is looked up; empty if there is no lookup.
    QByteArray packetOf(const FlowKey &flow) const;

    /// The message that hands the lookup over to an agent that knows all targets, if its outcome is KnownElsewhere.
    SendStreamMessage handOver(const FlowKey &flow) const;

    /// What the lookup is based on, for logs: denials, targets without an answer, and the age of the list of targets.
    QString describe(TimePoint now, const FlowKey &flow) const;

    /// Ends the lookup, if there is one.
    void end(const FlowKey &flow);

    /// Ends rounds that have timed out, since the target of the flow may belong to an agent that does not answer, and
    /// removes lookups without further packets.
    void onTick(TimePoint now, StreamActions &actions);

    /// Takes the flows that no target holds, because the remaining unlisted targets have not answered in time either.
    std::vector<FlowKey> takeUnheldFlows(TimePoint now);

    /// When takeRound() or takeUnheldFlows() has a result next.
    TimePoint nextDeadline() const;

private:
    struct Lookup
    {
        /// Shown by the latest packet.
        FlowPosition position;
        /// The message that brought the latest packet of the flow.
        StreamMessage message;
        /// When the caller has sent a copy of the packet or has given up.
        TimePoint packetDeadline{};
        /// Whether a round is asked for that has not begun.
        bool isWaiting = false;
        /// Until when the denials of the present round can end the lookup; the packet is outdated after that.
        TimePoint roundDeadline{};
        /// Present targets that have been asked and have not answered.
        std::set<TargetId> outstanding;
        /// Targets whose entries have been removed for good. Such a target may still be alive but cut off from the
        /// source of the directory.
        std::set<TargetId> unlisted;
        TimePoint unlistedDeadline{};
        /// Targets that have not been asked by their agents, and their services. They may hold the flow unless the record shows that
        /// its route has not used the service.
        std::map<TargetId, ServiceId> uncertain;
        /// The same for the local target.
        bool isOwnTargetUncertain = false;
        /// Targets that do not hold the flow, and never will.
        std::set<TargetId> denied;
        bool isDeniedByOwnTarget = false;
        /// An agent that has denied the flow and knows all targets; null if there is none.
        Endpoint informedAgent;
        /// Until when the directory may lack targets that an agent has a record of.
        TimePoint exhaustiveAfter{};
        /// Whether the round asks the agents of all services, since the former services of the route were not known.
        bool asksAllServices = false;
        /// Generation of the route history by which the round has chosen whom to ask.
        quint64 historyGeneration = 0;
        /// Whether the directory was settled when the round began.
        bool isDirectorySettled = false;
    };

    void enqueue(const FlowKey &flow, Lookup &lookup);
    void beginRound(TimePoint now, const FlowKey &flow, Lookup &lookup, StreamActions &actions);
    bool sendProbe(TimePoint now, const Lookup &lookup, const TargetDirectory::Entry &entry, bool isServiceAllowed, StreamActions &actions);
    bool hasBudget(TimePoint now);
    bool knowsAllPresentTargets(TimePoint now) const;
    bool isConclusive(TimePoint now, const FlowKey &flow, const Lookup &lookup) const;
    /// Whether the route has not used the service while a flow of it can have been opened.
    bool isExcluded(TimePoint now, const FlowKey &flow, ServiceId service) const;
    bool areUnlistedGone(TimePoint now, const Lookup &lookup) const;
    Outcome conclude(TimePoint now, const FlowKey &flow, const Lookup &lookup);

    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    SilentAgents m_silentAgents;
    std::unordered_map<FlowKey, Lookup> m_lookups;
    quint64 m_latestVersion = 0;
    /// Flows whose rounds wait for their turn.
    std::deque<FlowKey> m_waiting;
    std::deque<std::pair<TimePoint, FlowKey>> m_roundDeadlines;
    std::deque<std::pair<TimePoint, FlowKey>> m_retentionChecks;
    /// Lookups that wait for unlisted targets only.
    std::deque<std::pair<TimePoint, FlowKey>> m_unlistedDeadlines;
    /// Probes that may be sent now; negative after a round that needed more than was left.
    double m_budget = 0;
    TimePoint m_budgetAt{};
};

}
