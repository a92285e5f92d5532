#include "stream/targetprobation.h"

#include "core/assertion.h"

#include <algorithm>
#include <cmath>

namespace Rattanpick
{

namespace
{

/// Share of a value that is left after the time.
double faded(Duration elapsed, Duration decay)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(decay)));
}

}

TargetProbation::TargetProbation(const TargetProbationSettings &settings)
    : m_settings(settings)
{
    RP_ASSERT(settings.targetsPerProbation > 0);
}

// Evidence

void TargetProbation::onLoad(TimePoint now, TargetId target, const LoadReport &report)
{
    State &state = m_states[target];
    state.failureShare = report.failurePermille / 1000.0;
    state.serviceMicroseconds = report.serviceMicroseconds;
    state.answerBytes = report.answerBytes;
    state.reportedAt = now;
    if (report.isClosed) {
        interrupt(now, state);
        state.hasClosed = true;
    } else {
        resume(now, state);
    }
    judgeTrial(now, state);
}

void TargetProbation::onUnanswered(TimePoint now, TargetId target)
{
    interrupt(now, m_states[target]);
}

void TargetProbation::onOffered(TimePoint now, TargetId target)
{
    if (!mayTry(now, target)) {
        return;
    }
    State &state = m_states[target];
    state.trial = Trial{now + m_settings.trialTime, now + m_settings.trialLimit};
    recordReference(state);
    state.trialDeadline = now + state.trialInterval;
}

void TargetProbation::interrupt(TimePoint now, State &state) const
{
    if (state.interruptedAt) {
        return;
    }
    state.interruptedAt = now;
    if (state.isOnProbation) {
        endTrial(now, state, false);
    }
}

void TargetProbation::resume(TimePoint now, State &state) const
{
    if (!state.interruptedAt) {
        return;
    }
    // A target that has closed for good, by a planned stop or a drain, never resumes and thus is not counted.
    const bool isNew = state.resumedAt == TimePoint{} || *state.interruptedAt >= state.resumedAt + m_settings.mergeTime;
    if (isNew) {
        const bool mayBeLoss = !state.hasClosed && now < *state.interruptedAt + m_settings.lossTime;
        const double counted = interruptionsAt(now, state) + (mayBeLoss ? m_settings.lossWeight : 1);
        state.interruptions = std::min(counted, m_settings.interruptionMaximum);
        state.interruptionsAt = now;
    }
    state.interruptedAt.reset();
    state.hasClosed = false;
    state.resumedAt = now;
}

void TargetProbation::judgeTrial(TimePoint now, State &state) const
{
    if (!state.isOnProbation || state.interruptedAt) {
        return;
    }
    // Trials of other balancers count as well, so that each balancer needs few of its own. The means that an agent reports do not
    // change without answers.
    const bool hasAnswers = state.serviceMicroseconds != state.trialServiceMicroseconds || state.answerBytes != state.trialAnswerBytes;
    const bool isDue = state.trial ? now >= state.trial->resultTime : hasAnswers && now >= state.trialReportedAt + m_settings.trialTime;
    if (isDue) {
        endTrial(now, state, isTrialGood(state));
        recordReference(state);
    }
}

void TargetProbation::recordReference(State &state)
{
    state.trialFailureShare = state.failureShare;
    state.trialReportedAt = state.reportedAt;
    state.trialServiceMicroseconds = state.serviceMicroseconds;
    state.trialAnswerBytes = state.answerBytes;
}

bool TargetProbation::isTrialGood(const State &state) const
{
    // The share fades without requests, so that a share that has merely fallen does not show that the trial was answered.
    const double expected = state.trialFailureShare * faded(state.reportedAt - state.trialReportedAt, m_settings.failureDecay);
    if (state.failureShare > expected + m_settings.failureRise) {
        return false;
    }
    if (state.missingShare >= m_settings.failureLimit && state.answerBytes <= state.trialAnswerBytes * (1 + m_settings.meanChange)) {
        return false;
    }
    return state.slowness < m_settings.slownessLimit || state.serviceMicroseconds < state.trialServiceMicroseconds * (1 - m_settings.meanChange);
}

void TargetProbation::endTrial(TimePoint now, State &state, bool isGood) const
{
    state.trial.reset();
    if (isGood) {
        ++state.goodTrials;
        // A target that works again is tried at once, so that it is released within some seconds.
        state.trialDeadline = std::min(state.trialDeadline, now + m_settings.trialInterval);
        return;
    }
    state.goodTrials = 0;
    state.trialInterval = std::min(state.trialInterval * 2, m_settings.trialIntervalLimit);
    state.trialDeadline = now + state.trialInterval;
}

// Decisions

void TargetProbation::assess(TimePoint now, const std::vector<Condition> &usable)
{
    struct Suspect
    {
        double severity = 0;
        TargetId target{};
        State *state = nullptr;
    };
    std::vector<Suspect> suspects;
    for (const Condition &condition : usable) {
        const auto found = m_states.find(condition.target);
        if (found == m_states.end()) {
            continue;
        }
        State &state = found->second;
        const double current = severity(now, state, condition);
        if (current < 1 && (!state.isOnProbation || state.goodTrials >= m_settings.goodTrials)) {
            if (state.isOnProbation) {
                release(now, condition.target, state);
            }
            continue;
        }
        suspects.push_back({std::max(current, 1.0) * (state.isOnProbation ? m_settings.incumbentFactor : 1), condition.target, &state});
    }
    std::ranges::sort(suspects, [](const Suspect &a, const Suspect &b) { return std::tuple(-a.severity, a.target) < std::tuple(-b.severity, b.target); });
    // Evidence against more targets than this has a common cause, and the rest could not bear the load of all.
    const std::size_t limit = usable.size() / static_cast<std::size_t>(m_settings.targetsPerProbation);
    for (std::size_t index = 0; index < suspects.size(); ++index) {
        const Suspect &suspect = suspects[index];
        if (index >= limit && suspect.state->isOnProbation) {
            release(now, suspect.target, *suspect.state);
        }
        if (index < limit && !suspect.state->isOnProbation) {
            eject(now, suspect.target, *suspect.state);
        }
    }
}

bool TargetProbation::isOnProbation(TargetId target) const
{
    // Placement asks for each target of a service, and mostly none is on probation.
    if (m_probationCount == 0) {
        return false;
    }
    const auto found = m_states.find(target);
    return found != m_states.end() && found->second.isOnProbation;
}

bool TargetProbation::mayTry(TimePoint now, TargetId target) const
{
    const auto found = m_states.find(target);
    if (found == m_states.end() || !found->second.isOnProbation) {
        return false;
    }
    const State &state = found->second;
    return now >= state.trialDeadline && (!state.trial || now >= state.trial->deadline);
}

bool TargetProbation::isSlownessExcused(TimePoint now, TargetId target) const
{
    if (now >= m_latestExcuse) {
        return false;
    }
    const auto found = m_states.find(target);
    return found != m_states.end() && now < found->second.excuseDeadline;
}

std::vector<TargetProbation::Change> TargetProbation::takeChanges()
{
    return std::exchange(m_changes, {});
}

double TargetProbation::interruptionsAt(TimePoint now, const State &state) const
{
    return state.interruptions * faded(now - state.interruptionsAt, m_settings.interruptionDecay);
}

double TargetProbation::severity(TimePoint now, State &state, const Condition &condition) const
{
    state.slowness = condition.slowness;
    state.missingShare = condition.failureShare > state.failureShare ? condition.failureShare : 0;
    const bool isExcused = now < state.excuseDeadline || (state.isOnProbation && state.goodTrials >= m_settings.goodTrials);
    const double slowness = isExcused ? 0 : condition.slowness;
    return std::max(
        {condition.failureShare / m_settings.failureLimit, slowness / m_settings.slownessLimit, interruptionsAt(now, state) / m_settings.interruptionLimit});
}

void TargetProbation::eject(TimePoint now, TargetId target, State &state)
{
    RP_ASSERT(!state.isOnProbation);
    state.isOnProbation = true;
    ++m_probationCount;
    state.trial.reset();
    state.goodTrials = 0;
    state.excuseDeadline = {};
    // A target that passes its trials by chance, such as one that fails every other request, keeps its interval.
    state.trialInterval = now < state.relapseDeadline ? std::min(state.trialInterval * 2, m_settings.trialIntervalLimit) : m_settings.trialInterval;
    state.trialDeadline = now + state.trialInterval;
    recordReference(state);
    m_changes.push_back({target, true});
}

void TargetProbation::release(TimePoint now, TargetId target, State &state)
{
    RP_ASSERT(state.isOnProbation);
    state.isOnProbation = false;
    --m_probationCount;
    state.trial.reset();
    state.excuseDeadline = state.goodTrials >= m_settings.goodTrials ? now + m_settings.excuseTime : TimePoint{};
    m_latestExcuse = std::max(m_latestExcuse, state.excuseDeadline);
    state.relapseDeadline = now + m_settings.relapseTime;
    m_changes.push_back({target, false});
}

}
