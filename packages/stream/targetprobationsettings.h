#pragma once

#include "core/timepoint.h"

namespace Rattanpick
{

/// The settings of a TargetProbation.
struct TargetProbationSettings
{
    /// Failure share from which a target is ejected. Three failures in a row give 0.22; a target that fails 45% of 20 requests a
    /// second reports 0.38.
    double failureLimit = 0.2;
    /// Service time from which a target is ejected, as a multiple of the median. The slowest healthy targets are at 1.7; the fastest
    /// ones are at 3.1 when slowed down by a factor of 5.
    double slownessLimit = 2.5;
    /// Interruptions from which a target is ejected; see interruptionDecay. A single restart counts 1.
    double interruptionLimit = 1.5;
    /// Time constant at which interruptions fade; two of them within 5 s exceed the limit.
    Duration interruptionDecay = 8s;
    /// Upper bound of the interruptions that are counted, so that a target that is stable again is released within 4 s.
    double interruptionMaximum = 2.5;
    /// Silence that may be due to a lost packet counts less.
    Duration lossTime = 200ms;
    double lossWeight = 0.4;
    /// Interruptions within this time are one: a restart consists of a closed report, silence and a reopening.
    Duration mergeTime = 300ms;
    /// Time between two trials at first; doubled after each bad trial.
    Duration trialInterval = 250ms;
    Duration trialIntervalLimit = 4s;
    /// A balancer begins at most one trial in this many openings of a service, or one in this time if that is more. Trials of 25
    /// balancers at bare intervals were 3.8% of the openings of 42 targets.
    int openingsPerTrial = 128;
    Duration trialBudgetTime = 12s;
    /// How long a trial runs before a load report can show its result; the report that confirms the opening comes before it.
    Duration trialTime = 250ms;
    /// A trial without a load report is given up after this time.
    Duration trialLimit = 3s;
    /// Good trials in a row that end a probation.
    int goodTrials = 3;
    /// Time constant at which agents let the failure share fade (AnswerMeter).
    Duration failureDecay = 3s;
    /// Rise of the failure share over the faded one that shows a further failure. A failure raises a share of 0.45 by 0.04.
    double failureRise = 0.01;
    /// Change of the mean service time or answer length that shows a change of the target. One answer at normal speed lowers a
    /// fivefold mean by 5%.
    double meanChange = 0.02;
    /// How long the mean service time of a released target is ignored. The mean follows a recovery after about thirty answers, which
    /// the target does not get while it is ranked by the old mean.
    Duration excuseTime = 3s;
    /// How long the trial interval is kept for a target that is ejected again.
    Duration relapseTime = 10s;
    /// A target on probation stays there unless another one is worse by this factor, so that the ejected ones do not alternate.
    double incumbentFactor = 1.25;
    /// One target in this many may be on probation.
    int targetsPerProbation = 3;

    bool operator==(const TargetProbationSettings &) const = default;
};

}
