#pragma once

#include "core/flowkey.h"
#include "stream/loadreport.h"
#include "stream/placementsettings.h"
#include "stream/targetdirectory.h"

#include <map>
#include <vector>

namespace Rattanpick
{

/// Orders the targets that may take a new flow by the time that a request on it is expected to need.
class Placement
{
public:
    /// Builds a placement that knows no loads.
    explicit Placement(const PlacementSettings &settings);

    // Evidence

    /// A message of the target's agent has arrived.
    void onAlive(TimePoint now, TargetId target);

    /// The agent has told the load of its target.
    void onLoad(TimePoint now, TargetId target, const LoadReport &load);

    /// A flow was offered to the target.
    void onOffered(TimePoint now, TargetId target);

    /// The target did not answer an opening in time.
    void onUnanswered(TimePoint now, TargetId target);

    // Decisions

    /// At most @p limit targets of the service for a new flow, the best first; empty if none may take it.
    std::vector<TargetId> order(TimePoint now, const TargetDirectory &directory, ServiceId service, const FlowKey &flow, std::size_t limit);

    /// What the placement knows of the target, for logs.
    QString describe(TimePoint now, TargetId target) const;

    /// Whether the target has not answered lately.
    bool isSuspected(TimePoint now, TargetId target) const;

    /// Whether the agent of the target was heard from within the time.
    bool isHeard(TimePoint now, TargetId target, Duration within) const;

    /// The targets that did not answer and are due for a ping.
    std::vector<TargetId> takeDuePings(TimePoint now);

private:
    struct State
    {
        LoadReport load;
        TimePoint loadDeadline{};
        TimePoint loadAt{};
        /// Flows offered since the load was told.
        quint32 offered = 0;
        TimePoint heardAt{};
        TimePoint suspicionDeadline{};
        TimePoint pingDeadline = TimePoint::max();
    };

    /// What is usual among the targets of a service; 0 if not known.
    struct Norm
    {
        double serviceSeconds = 0;
        double answerBytes = 0;
        /// When to look again.
        TimePoint deadline{};
    };

    const Norm &currentNorm(TimePoint now, const TargetDirectory &directory, ServiceId service);
    Norm normOf(TimePoint now, const TargetDirectory &directory, ServiceId service) const;
    double expectedSeconds(TimePoint now, const StreamTarget &target, const Norm &norm) const;
    double failureShare(const LoadReport &load, const Norm &norm) const;
    const State *stateOf(TargetId target) const;

    PlacementSettings m_settings;
    std::map<TargetId, State> m_states;
    std::map<ServiceId, Norm> m_norms;
};

}
