#include "stream/placement.h"

#include <algorithm>
#include <span>

namespace Rattanpick
{

namespace
{

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
{
}

// Evidence

void Placement::onAlive(TimePoint now, TargetId target)
{
    State &state = m_states[target];
    state.heardAt = now;
    state.suspicionDeadline = {};
    state.pingDeadline = TimePoint::max();
}

void Placement::onLoad(TimePoint now, TargetId target, const LoadReport &load)
{
    State &state = m_states[target];
    state.load = load;
    state.loadAt = now;
    state.loadDeadline = now + m_settings.loadMemory;
    state.offered = 0;
}

void Placement::onOffered(TimePoint /*now*/, TargetId target)
{
    ++m_states[target].offered;
}

void Placement::onUnanswered(TimePoint now, TargetId target)
{
    State &state = m_states[target];
    state.suspicionDeadline = now + m_settings.suspicionTime;
    state.pingDeadline = now;
}

// Decisions

std::vector<TargetId> Placement::order(TimePoint now, const TargetDirectory &directory, ServiceId service, const FlowKey &flow, std::size_t limit)
{
    // Targets that are closed or do not answer come last: what is known of them may be out of date.
    enum Rank {
        Usable,
        Doubtful,
    };
    struct Choice
    {
        Rank rank = Usable;
        double cost = 0;
        quint64 hash = 0;
        TargetId id{};
    };
    const Norm &norm = currentNorm(now, directory, service);
    std::vector<Choice> choices;
    std::vector<Choice> draining;
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.target.service != service || !entry.isPresent()) {
            continue;
        }
        const State *state = stateOf(id);
        const bool isClosed = state != nullptr && state->load.isClosed && now < state->loadDeadline;
        const Choice choice{isClosed || isSuspected(now, id) ? Doubtful : Usable,
                            expectedSeconds(now, entry.target, norm),
                            hashPair(flow.hash(), static_cast<quint64>(id)),
                            id};
        if (directory.takesFlows(entry)) {
            choices.push_back(choice);
        } else if (entry.drainingSince && now < *entry.drainingSince + m_settings.drainingGrace && !directory.isOut(entry.target.dataCentre)) {
            draining.push_back(choice);
        }
    }
    if (choices.empty()) {
        choices = std::move(draining);
    }
    // The hash spreads the flows of equally loaded targets, each balancer's alike.
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
    if (state == nullptr || state->loadAt == TimePoint{}) {
        return QStringLiteral("load=unknown");
    }
    return QStringLiteral("in-progress=%1 offered=%2 service-us=%3 failure-permille=%4 answer-bytes=%5 load-age-ms=%6")
        .arg(state->load.requestsInProgress)
        .arg(state->offered)
        .arg(state->load.serviceMicroseconds)
        .arg(state->load.failurePermille)
        .arg(state->load.answerBytes)
        .arg(std::chrono::duration_cast<std::chrono::milliseconds>(now - state->loadAt).count());
}

bool Placement::isSuspected(TimePoint now, TargetId target) const
{
    const State *state = stateOf(target);
    return state != nullptr && (now < state->suspicionDeadline || state->pingDeadline != TimePoint::max());
}

bool Placement::isHeard(TimePoint now, TargetId target, Duration within) const
{
    const State *state = stateOf(target);
    return state != nullptr && state->heardAt != TimePoint{} && now - state->heardAt < within;
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

const Placement::Norm &Placement::currentNorm(TimePoint now, const TargetDirectory &directory, ServiceId service)
{
    Norm &norm = m_norms[service];
    if (now >= norm.deadline) {
        norm = normOf(now, directory, service);
        norm.deadline = now + m_settings.normInterval;
    }
    return norm;
}

Placement::Norm Placement::normOf(TimePoint now, const TargetDirectory &directory, ServiceId service) const
{
    std::vector<double> times;
    std::vector<double> lengths;
    for (const auto &[id, state] : m_states) {
        const TargetDirectory::Entry *entry = directory.find(id);
        if (entry == nullptr || entry->target.service != service || now >= state.loadDeadline) {
            continue;
        }
        if (state.load.serviceMicroseconds > 0) {
            times.push_back(state.load.serviceMicroseconds * 1e-6);
        }
        if (state.load.answerBytes > 0) {
            lengths.push_back(state.load.answerBytes);
        }
    }
    return {median(times), median(lengths), {}};
}

double Placement::expectedSeconds(TimePoint now, const StreamTarget &target, const Norm &norm) const
{
    const State *state = stateOf(target.id);
    double service = norm.serviceSeconds > 0 ? norm.serviceSeconds : seconds(m_settings.assumedServiceTime);
    double inProgress = state != nullptr ? state->offered : 0;
    double failure = 0;
    if (state != nullptr && now < state->loadDeadline) {
        if (state->load.serviceMicroseconds > 0) {
            service = std::max(state->load.serviceMicroseconds * 1e-6, norm.serviceSeconds * m_settings.fastestShare);
        }
        // The mean stands for the requests that long flows bring later, the momentary count for what waits now.
        inProgress += std::max<double>(state->load.requestsInProgress, state->load.meanInProgressHundredths / 100.0);
        failure = failureShare(state->load, norm);
    }
    const double slots = std::max<quint32>(1, target.slotCount);
    const double waiting = std::max(0.0, inProgress + 1 - slots) / slots;
    const double sharing = inProgress / slots / 4;
    const double crossing = target.dataCentre == m_settings.dataCentre ? 0 : seconds(m_settings.crossingCost);
    return service * (1 + waiting + sharing) + crossing + failure * seconds(m_settings.failureCost);
}

double Placement::failureShare(const LoadReport &load, const Norm &norm) const
{
    const double seen = load.failurePermille / 1000.0;
    const double failed = seen > m_settings.failureTolerance ? seen : 0;
    if (load.answerBytes == 0 || norm.answerBytes <= 0) {
        return failed;
    }
    const double missing = 1 - load.answerBytes / norm.answerBytes;
    return std::max(failed, missing > m_settings.shortAnswerShare ? missing : 0);
}

const Placement::State *Placement::stateOf(TargetId target) const
{
    const auto found = m_states.find(target);
    return found != m_states.end() ? &found->second : nullptr;
}

}
