#include "stream/placement.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
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

std::vector<TargetId> Placement::order(TimePoint now, const TargetDirectory &directory, ServiceId service, const FlowKey &flow, std::size_t limit) const
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
    std::vector<Choice> choices;
    std::vector<Choice> draining;
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.target.service != service || !entry.isPresent()) {
            continue;
        }
        const State *state = stateOf(id);
        const bool isClosed = state != nullptr && state->load.isClosed && now < state->loadDeadline;
        const Choice choice{
            isClosed || isSuspected(now, id) ? Doubtful : Usable, expectedSeconds(now, entry.target), hashPair(flow.hash(), static_cast<quint64>(id)), id};
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
    std::ranges::sort(choices, [](const Choice &a, const Choice &b) { return std::tuple(a.rank, a.cost, a.hash) < std::tuple(b.rank, b.cost, b.hash); });
    std::vector<TargetId> ordered;
    for (const Choice &choice : choices) {
        if (ordered.size() == limit) {
            break;
        }
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
    return QStringLiteral("in-progress=%1 offered=%2 service-us=%3 load-age-ms=%4")
        .arg(state->load.requestsInProgress)
        .arg(state->offered)
        .arg(state->load.serviceMicroseconds)
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

double Placement::expectedSeconds(TimePoint now, const StreamTarget &target) const
{
    const State *state = stateOf(target.id);
    double service = seconds(m_settings.assumedServiceTime);
    double inProgress = state != nullptr ? state->offered : 0;
    if (state != nullptr && now < state->loadDeadline) {
        service = state->load.serviceMicroseconds > 0 ? state->load.serviceMicroseconds * 1e-6 : service;
        // The mean stands for the requests that long flows bring later, the momentary count for what waits now.
        inProgress += std::max<double>(state->load.requestsInProgress, state->load.meanInProgressHundredths / 100.0);
    }
    const double slots = std::max<quint32>(1, target.slotCount);
    const double waiting = std::max(0.0, inProgress + 1 - slots) / slots;
    const double sharing = inProgress / slots / 4;
    const double crossing = target.dataCentre == m_settings.dataCentre ? 0 : seconds(m_settings.crossingCost);
    return service * (1 + waiting + sharing) + crossing;
}

const Placement::State *Placement::stateOf(TargetId target) const
{
    const auto found = m_states.find(target);
    return found != m_states.end() ? &found->second : nullptr;
}

}
