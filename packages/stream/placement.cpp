#include "stream/placement.h"

#include "stream/twochoices.h"

#include <algorithm>
#include <span>

namespace Rattanpick
{

namespace
{

/// Share by which the costs of two targets may differ by chance. The mean of a target with flows of single requests says
/// little about its next requests; following each difference gives the target with the lowest mean too many flows until
/// it reports again (0.44 instead of 0.41 of the openings met busy slots at 60% use). The mean of long flows persists.
constexpr double noiseMargin = 0.2;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double median(std::vector<double> &values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

}

Placement::Placement(const PlacementSettings &settings)
    : m_settings(settings)
    , m_probation(settings.probation)
{
}

// Evidence

void Placement::onAgentMessage(TimePoint now, TargetId target)
{
    State &state = m_states[target];
    state.lastSeenAt = now;
    state.suspicionDeadline = {};
    state.pingDeadline = TimePoint::max();
}

void Placement::onLoad(TimePoint now, TargetId target, const LoadReport &load)
{
    State &state = m_states[target];
    state.load = load;
    state.loadReceivedAt = now;
    state.loadDeadline = now + m_settings.loadReportLifetime;
    state.offered = 0;
    // The estimate is kept even if it is not used, since a reload may switch it on.
    state.estimate.onReport(now, load, load.serviceMicroseconds > 0 ? load.serviceMicroseconds * 1e-6 : seconds(m_settings.assumedServiceTime));
    m_probation.onLoad(now, target, load);
}

void Placement::onOffered(TimePoint now, TargetId target)
{
    State &state = m_states[target];
    ++state.offered;
    state.estimate.onOffered(now);
    m_probation.onOffered(now, target);
}

void Placement::onUnanswered(TimePoint now, TargetId target)
{
    State &state = m_states[target];
    state.suspicionDeadline = now + m_settings.suspicionTime;
    state.pingDeadline = now;
    m_probation.onUnanswered(now, target);
}

// Decisions

std::vector<TargetId> Placement::order(TimePoint now, const TargetDirectory &directory, ServiceId service, const FlowKey &flow, std::size_t limit)
{
    // Targets that are closed or do not answer come last, since the state of them may be outdated. The agent of a closed
    // target still forwards the opening, or takes it if no other target is left.
    enum Rank {
        Trial,
        Drawn,
        DrawnSecond,
        Usable,
        OnProbation,
        Closed,
        Suspected,
    };
    struct Choice
    {
        Rank rank = Usable;
        double cost = 0;
        quint64 hash = 0;
        TargetId id{};
    };
    const Baseline &baseline = currentBaseline(now, directory, service);
    const auto isEjected = [this](TargetId target) {
        return m_settings.balancing.usesProbation && m_probation.isOnProbation(target);
    };
    std::vector<Choice> choices;
    std::vector<Choice> draining;
    TwoChoices draw(noiseMargin * (1 - baseline.idleShare));
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.target.service != service || !entry.isPresent()) {
            continue;
        }
        const State *state = stateOf(id);
        const bool isClosed = state != nullptr && state->load.isClosed && now < state->loadDeadline;
        const Expectation expected = expectation(now, entry.target, state, baseline);
        const Choice choice{isSuspected(now, state) ? Suspected
                            : isClosed              ? Closed
                            : isEjected(id)         ? OnProbation
                                                    : Usable,
                            expected.seconds,
                            hashPair(flow.hash(), static_cast<quint64>(id)),
                            id};
        if (directory.acceptsFlows(entry)) {
            choices.push_back(choice);
            if (m_settings.balancing.usesTwoChoices && choice.rank == Usable && !expected.fails) {
                draw.add({id, choice.hash, expected.capacity, expected.evenSeconds, entry.target.dataCentre == m_settings.dataCentre});
            }
        } else if (entry.drainingSince && now < *entry.drainingSince + m_settings.drainingGrace && !directory.isOut(entry.target.dataCentre)) {
            draining.push_back(choice);
        }
    }
    if (choices.empty()) {
        choices = std::move(draining);
    }
    // Many balancers with the same old load data would all choose the target that last seemed idle, so it is drawn. The
    // second one is drawn as well, or all openings passed on would meet at the same target.
    if (m_settings.balancing.usesTwoChoices) {
        const auto [better, other] = draw.drawn();
        for (Choice &choice : choices) {
            choice.rank = choice.id == better ? Drawn : choice.id == other ? DrawnSecond : choice.rank;
        }
    }
    // An opening is the trial of one target at most, so that its further candidates are good ones.
    if (m_settings.balancing.usesProbation) {
        TrialBudget &budget = m_trialBudgets[service];
        budget.openings = std::min(budget.openings + 1, m_settings.probation.openingsPerTrial);
        const bool isTrialAllowed = budget.openings >= m_settings.probation.openingsPerTrial || now >= budget.deadline;
        Choice *trial = nullptr;
        for (Choice &choice : choices) {
            if (isTrialAllowed && choice.rank == OnProbation && m_probation.mayTry(now, choice.id) && (trial == nullptr || choice.hash < trial->hash)) {
                trial = &choice;
            }
        }
        if (trial != nullptr) {
            trial->rank = Trial;
            budget = {0, now + m_settings.probation.trialBudgetTime};
        }
    }
    // The hash spreads flows over equally loaded targets; it is the same for all balancers.
    const std::size_t count = std::min(limit, choices.size());
    std::ranges::partial_sort(choices, choices.begin() + static_cast<std::ptrdiff_t>(count), [](const Choice &a, const Choice &b) {
        return std::tuple(a.rank, a.cost, a.hash) < std::tuple(b.rank, b.cost, b.hash);
    });
    std::vector<TargetId> ordered;
    for (const Choice &choice : std::span(choices).first(count)) {
        ordered.push_back(choice.id);
    }
    return ordered;
}

QString Placement::describe(TimePoint now, TargetId target) const
{
    const State *state = stateOf(target);
    if (state == nullptr || state->loadReceivedAt == TimePoint{}) {
        return QStringLiteral("load=unknown");
    }
    return QStringLiteral("in-progress=%1 offered=%2 service-us=%3 failure-permille=%4 answer-bytes=%5 load-age-ms=%6")
        .arg(state->load.requestsInProgress)
        .arg(state->offered)
        .arg(state->load.serviceMicroseconds)
        .arg(state->load.failurePermille)
        .arg(state->load.answerBytes)
        .arg(std::chrono::duration_cast<std::chrono::milliseconds>(now - state->loadReceivedAt).count());
}

bool Placement::isSuspected(TimePoint now, TargetId target) const
{
    return isSuspected(now, stateOf(target));
}

bool Placement::isSuspected(TimePoint now, const State *state)
{
    return state != nullptr && (now < state->suspicionDeadline || state->pingDeadline != TimePoint::max());
}

bool Placement::wasSeenWithin(TimePoint now, TargetId target, Duration within) const
{
    const State *state = stateOf(target);
    return state != nullptr && state->lastSeenAt != TimePoint{} && now - state->lastSeenAt < within;
}

std::vector<TargetId> Placement::takeDuePings(TimePoint now)
{
    std::vector<TargetId> due;
    for (auto &[id, state] : m_states) {
        if (now < state.pingDeadline) {
            continue;
        }
        state.pingDeadline = now + m_settings.pingInterval;
        due.push_back(id);
    }
    return due;
}

const Placement::Baseline &Placement::currentBaseline(TimePoint now, const TargetDirectory &directory, ServiceId service)
{
    Baseline &baseline = m_baselines[service];
    if (now >= baseline.deadline) {
        baseline = computeBaseline(now, directory, service);
        baseline.deadline = now + m_settings.baselineInterval;
        if (m_settings.balancing.usesProbation) {
            assessTargets(now, directory, service, baseline);
        }
    }
    return baseline;
}

void Placement::assessTargets(TimePoint now, const TargetDirectory &directory, ServiceId service, const Baseline &baseline)
{
    std::vector<TargetProbation::Condition> usable;
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.target.service != service || !entry.isPresent() || !directory.acceptsFlows(entry) || isSuspected(now, id)) {
            continue;
        }
        TargetProbation::Condition condition{id, 0, 0};
        const State *state = stateOf(id);
        if (state != nullptr && now < state->loadDeadline) {
            if (state->load.isClosed) {
                continue;
            }
            condition.failureShare = failureShare(state->load, baseline);
            condition.slowness = baseline.serviceSeconds > 0 ? state->load.serviceMicroseconds * 1e-6 / baseline.serviceSeconds : 0;
        }
        usable.push_back(condition);
    }
    m_probation.assess(now, usable);
}

Placement::Baseline Placement::computeBaseline(TimePoint now, const TargetDirectory &directory, ServiceId service) const
{
    std::vector<double> times;
    std::vector<double> lengths;
    double requests = 0;
    double meanRequests = 0;
    double flows = 0;
    for (const auto &[id, state] : m_states) {
        const TargetDirectory::Entry *entry = directory.find(id);
        if (entry == nullptr || entry->target.service != service || now >= state.loadDeadline) {
            continue;
        }
        requests += state.load.requestsInProgress;
        meanRequests += state.load.meanInProgressHundredths / 100.0;
        flows += state.load.flows;
        if (state.load.serviceMicroseconds > 0) {
            times.push_back(state.load.serviceMicroseconds * 1e-6);
        }
        if (state.load.answerBytes > 0) {
            lengths.push_back(state.load.answerBytes);
        }
    }
    Baseline baseline{median(times), median(lengths), 0, 0, {}};
    if (flows > 0) {
        // Many reports are sent when a request begins, so their counts are above the means. Only counts of the same time
        // tell how many flows are idle.
        baseline.requestsPerFlow = meanRequests / flows;
        baseline.idleShare = std::max(0.0, 1 - requests / flows);
    }
    return baseline;
}

Placement::Expectation Placement::expectation(TimePoint now, const StreamTarget &target, const State *state, const Baseline &baseline) const
{
    const double typical = baseline.serviceSeconds > 0 ? baseline.serviceSeconds : seconds(m_settings.assumedServiceTime);
    double service = typical;
    double failure = 0;
    if (state != nullptr && now < state->loadDeadline) {
        if (state->load.serviceMicroseconds > 0) {
            service = std::max(state->load.serviceMicroseconds * 1e-6, baseline.serviceSeconds * m_settings.minimumServiceTimeShare);
        }
        if (m_settings.balancing.usesProbation && baseline.serviceSeconds > 0 && m_probation.isSlownessExcused(now, target.id)) {
            service = std::min(service, baseline.serviceSeconds);
        }
        failure = failureShare(state->load, baseline);
    }
    const double inProgress = state != nullptr ? requestsInProgress(now, *state, baseline, service / typical) : 0;
    const double slots = std::max<quint32>(1, target.slotCount);
    const double waiting = std::max(0.0, inProgress + 1 - slots) / slots;
    const double sharing = inProgress / slots / 4;
    const double remoteCost = target.dataCentre == m_settings.dataCentre ? 0 : seconds(m_settings.interDataCentreCost);
    return {service * (1 + waiting + sharing) + remoteCost + failure * seconds(m_settings.failureCost),
            typical * (1 + waiting + sharing) + remoteCost,
            slots / service,
            failure > 0};
}

double Placement::requestsInProgress(TimePoint now, const State &state, const Baseline &baseline, double slowness) const
{
    const bool isReported = now < state.loadDeadline;
    const double mean = isReported ? state.load.meanInProgressHundredths / 100.0 : 0;
    if (!m_settings.balancing.usesTwoChoices) {
        // The mean accounts for the requests that long flows will send later, the current count for those that wait
        // now.
        return state.offered + (isReported ? std::max<double>(state.load.requestsInProgress, mean) : 0);
    }
    // Long flows that a target has just received are not in its mean yet, while flows of a single request are hardly
    // ever idle and their number says no more than the count.
    const double ofFlows = isReported ? state.load.flows * baseline.requestsPerFlow * slowness : 0;
    return state.estimate.requestsInProgress(now, mean + baseline.idleShare * std::max(0.0, ofFlows - mean));
}

double Placement::failureShare(const LoadReport &load, const Baseline &baseline) const
{
    const double reported = load.failurePermille / 1000.0;
    const double failed = reported > m_settings.failureTolerance ? reported : 0;
    if (load.answerBytes == 0 || baseline.answerBytes <= 0) {
        return failed;
    }
    const double missing = 1 - load.answerBytes / baseline.answerBytes;
    return std::max(failed, missing > m_settings.shortAnswerShare ? missing : 0);
}

const Placement::State *Placement::stateOf(TargetId target) const
{
    const auto found = m_states.find(target);
    return found != m_states.end() ? &found->second : nullptr;
}

}
