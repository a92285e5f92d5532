#pragma once

#include "core/identifiers.h"
#include "stream/loadreport.h"
#include "stream/targetprobationsettings.h"

#include <map>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// Ejects targets that fail, slow down or flap, and tries them with single openings until they work again.
class TargetProbation
{
public:
    /// A target that may take openings, compared with the others of its service.
    struct Condition
    {
        TargetId target{};
        /// Share of failed requests as reported or derived from short answers; 0 if unknown.
        double failureShare = 0;
        /// Service time as a multiple of the median; 0 if unknown.
        double slowness = 0;

        bool operator==(const Condition &) const = default;
    };

    /// A target that was ejected or released.
    struct Change
    {
        TargetId target{};
        bool isOnProbation = false;

        bool operator==(const Change &) const = default;
    };

    /// Builds a record without targets.
    explicit TargetProbation(const TargetProbationSettings &settings);

    // Evidence

    /// The agent has reported the load of its target.
    void onLoad(TimePoint now, TargetId target, const LoadReport &report);

    /// The target did not answer an opening in time.
    void onUnanswered(TimePoint now, TargetId target);

    /// An opening was offered to the target; if a trial is due, this is the trial.
    void onOffered(TimePoint now, TargetId target);

    // Decisions

    /// Ejects and releases targets of a service, given all of its targets that are usable, including those on probation.
    void assess(TimePoint now, const std::vector<Condition> &usable);

    /// Whether the target is on probation.
    bool isOnProbation(TargetId target) const;

    /// Whether the target is on probation and its next trial is due.
    bool mayTry(TimePoint now, TargetId target) const;

    /// Whether the target was just released, so that its mean service time may still contain the time when it was slow.
    bool isSlownessExcused(TimePoint now, TargetId target) const;

    /// The targets that were ejected and released since the latest call.
    std::vector<Change> takeChanges();

private:
    struct Trial
    {
        /// When a load report can show the result.
        TimePoint resultTime;
        TimePoint deadline;
    };

    struct State
    {
        bool isOnProbation = false;
        /// The latest load report.
        double failureShare = 0;
        quint32 serviceMicroseconds = 0;
        quint16 answerBytes = 0;
        TimePoint reportedAt{};
        /// When the target closed or fell silent; empty if it is open.
        std::optional<TimePoint> interruptedAt;
        bool hasClosed = false;
        TimePoint resumedAt{};
        /// Recent interruptions, as of interruptionsAt.
        double interruptions = 0;
        TimePoint interruptionsAt{};
        TimePoint excuseDeadline{};
        double slowness = 0;
        /// Failure share derived from the length of the answers; 0 if the agent itself reports as much.
        double missingShare = 0;
        std::optional<Trial> trial;
        /// The load report before the trial, with which the next one is compared.
        double trialFailureShare = 0;
        TimePoint trialReportedAt{};
        quint32 trialServiceMicroseconds = 0;
        quint16 trialAnswerBytes = 0;
        int goodTrials = 0;
        Duration trialInterval{};
        TimePoint trialDeadline{};
        TimePoint relapseDeadline{};
    };

    void interrupt(TimePoint now, State &state) const;
    void resume(TimePoint now, State &state) const;
    static void recordReference(State &state);
    void judgeTrial(TimePoint now, State &state) const;
    void endTrial(TimePoint now, State &state, bool isGood) const;
    bool isTrialGood(const State &state) const;
    double interruptionsAt(TimePoint now, const State &state) const;
    double severity(TimePoint now, State &state, const Condition &condition) const;
    void eject(TimePoint now, TargetId target, State &state);
    void release(TimePoint now, TargetId target, State &state);

    TargetProbationSettings m_settings;
    std::map<TargetId, State> m_states;
    std::size_t m_probationCount = 0;
    /// When the latest excuse ends.
    TimePoint m_latestExcuse{};
    std::vector<Change> m_changes;
};

}
