#pragma once

#include "core/flowkey.h"
#include "stream/loadestimate.h"
#include "stream/loadreport.h"
#include "stream/placementsettings.h"
#include "stream/targetdirectory.h"
#include "stream/targetprobation.h"

#include <map>
#include <vector>

namespace Rattanpick
{

/// Ranks the targets of a service for a new flow by the expected time of a request.
class Placement
{
public:
    /// Builds a placement without load data.
    explicit Placement(const PlacementSettings &settings);

    // Evidence

    /// A message from the target's agent has arrived.
    void onAgentMessage(TimePoint now, TargetId target);

    /// The agent has reported the load of its target.
    void onLoad(TimePoint now, TargetId target, const LoadReport &load);

    /// A flow was offered to the target.
    void onOffered(TimePoint now, TargetId target);

    /// The target did not answer an opening in time.
    void onUnanswered(TimePoint now, TargetId target);

    /// The settings of the process were changed.
    void onSettings(const BalancingSettings &settings)
    {
        m_settings.balancing = settings;
    }

    // Decisions

    /// At most @p limit targets of the service for a new flow, the best first; empty if none may take it.
    std::vector<TargetId> order(TimePoint now, const TargetDirectory &directory, ServiceId service, const FlowKey &flow, std::size_t limit);

    /// Load data of the target for logs.
    QString describe(TimePoint now, TargetId target) const;

    /// Whether the target has recently failed to answer.
    bool isSuspected(TimePoint now, TargetId target) const;

    /// Whether a message of the target's agent has arrived within the time.
    bool wasSeenWithin(TimePoint now, TargetId target, Duration within) const;

    /// The targets that did not answer and are due for a ping.
    std::vector<TargetId> takeDuePings(TimePoint now);

    /// The targets that were ejected and released since the latest call.
    std::vector<TargetProbation::Change> takeProbationChanges()
    {
        return m_probation.takeChanges();
    }

private:
    struct State
    {
        LoadReport load;
        TimePoint loadDeadline{};
        TimePoint loadReceivedAt{};
        /// Flows offered since the latest load report.
        quint32 offered = 0;
        LoadEstimate estimate;
        TimePoint lastSeenAt{};
        TimePoint suspicionDeadline{};
        TimePoint pingDeadline = TimePoint::max();
    };

    /// Medians and means over the targets of a service; 0 if unknown.
    struct Baseline
    {
        double serviceSeconds = 0;
        double answerBytes = 0;
        /// Mean requests in progress for each flow that a target holds.
        double requestsPerFlow = 0;
        /// Share of the flows that have no request in progress: near 1 for long flows.
        double idleShare = 0;
        /// When the medians are computed again.
        TimePoint deadline{};
    };

    /// What a request is expected to cost at a target.
    struct Expectation
    {
        /// Expected time of a request, including the cost of the link and of failures.
        double seconds = 0;
        /// The same as if the target had the median service time, without failures: comparing these loads targets of
        /// unequal speeds in proportion to their speeds.
        double evenSeconds = 0;
        /// Requests per second that the target can process.
        double capacity = 0;
        bool fails = false;
    };

    /// Limits the trials among the openings of a service.
    struct TrialBudget
    {
        /// Openings since the latest trial.
        int openings = 0;
        TimePoint deadline{};
    };

    const Baseline &currentBaseline(TimePoint now, const TargetDirectory &directory, ServiceId service);
    Baseline computeBaseline(TimePoint now, const TargetDirectory &directory, ServiceId service) const;
    static bool isSuspected(TimePoint now, const State *state);
    Expectation expectation(TimePoint now, const StreamTarget &target, const State *state, const Baseline &baseline) const;
    double requestsInProgress(TimePoint now, const State &state, const Baseline &baseline, double slowness) const;
    void assessTargets(TimePoint now, const TargetDirectory &directory, ServiceId service, const Baseline &baseline);
    double failureShare(const LoadReport &load, const Baseline &baseline) const;
    const State *stateOf(TargetId target) const;

    PlacementSettings m_settings;
    std::map<TargetId, State> m_states;
    TargetProbation m_probation;
    std::map<ServiceId, Baseline> m_baselines;
    std::map<ServiceId, TrialBudget> m_trialBudgets;
};

}
