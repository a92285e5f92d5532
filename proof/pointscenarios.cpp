#include "proof/pointscenarios.h"

#include "core/assertion.h"

#include <array>

namespace Rattanpick::Proof
{

namespace
{

constexpr LinkSettings unreliableLinks{.loss = 0.05, .duplication = 0.15, .reordering = 0.3, .reorderDelay = 60ms};

struct PointText
{
    const char *mechanism;
    const char *baseline;
};

constexpr std::array<PointText, pointCount> texts{{
    {"home agent, directory and owner of a flow", "weighted Maglev hashing alone"},
    {"agents check service and destination", "agents accept all packets to their address"},
    {"cold-start ramp", "cold targets get full load at once"},
    {"fence and pause guard", "no fence, no pause guard"},
    {"answers assembled by flow, request and part", "parts assembled in the order of arrival"},
    {"only the owner says \"not run\"", "balancers say \"not run\" after 300 ms"},
    {"request table bound to the flow incarnation", "every copy of a request is delivered"},
    {"agents stop accepting work while draining", "agents ignore draining"},
    {"planned stop completes requests in progress", "stop exits at once"},
    {"monotonic store, spread among nodes", "store that accepts any platform document"},
}};

void addFault(ScenarioSettings &settings, FaultKind kind, std::size_t subject, Duration at, Duration duration)
{
    settings.faults.push_back(Fault{kind, at, duration, subject});
}

// The failure for each point; the baseline run has the same one.

void setFlowFailure(ScenarioSettings &settings)
{
    addFault(settings, FaultKind::AddTarget, 0, 1s, 20s);
    addFault(settings, FaultKind::DrainTarget, 1, 3s, 6s);
    addFault(settings, FaultKind::ReweightTarget, 3, 5s, 1s);
    addFault(settings, FaultKind::StopAgent, 4, 6s, 1s);
    addFault(settings, FaultKind::RemoveTarget, 2, 8s, 4s);
    // PlainFlowAgent keeps no request table, so the runs send no requests and differ in routing alone.
    settings.requestInterval = Duration::zero();
}

void setServiceFailure(ScenarioSettings &settings)
{
    addFault(settings, FaultKind::CutBalancer, 1, 1s, 9s);
    addFault(settings, FaultKind::ReuseAddress, 0, 2s, 1s);
    addFault(settings, FaultKind::CutBalancer, 2, 1s, 9s);
    addFault(settings, FaultKind::CutBalancer, 0, 1500ms, 9s);
    settings.callers = 40;
}

void setColdFailure(ScenarioSettings &settings)
{
    addFault(settings, FaultKind::RestartTarget, 1, 2s, 1s);
    addFault(settings, FaultKind::RestartTarget, 4, 4s, 1s);
    settings.callers = 60;
    settings.requestInterval = 300ms;
    settings.flowLifetime = 3s;
}

void setOutFailure(ScenarioSettings &settings)
{
    addFault(settings, FaultKind::FreezeBalancer, 0, 1s, 7s);
    addFault(settings, FaultKind::TakeOutDataCentre, 1, 2s, 12s);
    addFault(settings, FaultKind::CutBalancer, 1, 1s, 8s);
}

void setAnswerFailure(ScenarioSettings &settings)
{
    settings.links = unreliableLinks;
    settings.requestInterval = 100ms;
}

void setRefusalFailure(ScenarioSettings &settings)
{
    addFault(settings, FaultKind::SlowTarget, 0, 1s, 8s);
    addFault(settings, FaultKind::SlowTarget, 1, 1s, 8s);
    addFault(settings, FaultKind::SlowTarget, 2, 1s, 8s);
}

void setRepeatFailure(ScenarioSettings &settings)
{
    settings.links = unreliableLinks;
    addFault(settings, FaultKind::KillAgent, 1, 3s, 1s);
    addFault(settings, FaultKind::KillBalancer, 1, 5s, 1s);
}

void setDrainFailure(ScenarioSettings &settings)
{
    addFault(settings, FaultKind::DrainTarget, 0, 1s, 13s);
    addFault(settings, FaultKind::DrainTarget, 1, 1500ms, 12s);
}

void setStopFailure(ScenarioSettings &settings)
{
    addFault(settings, FaultKind::StopAgent, 0, 1s, 1s);
    addFault(settings, FaultKind::StopAgent, 1, 4s, 1s);
    addFault(settings, FaultKind::StopAgent, 2, 7s, 1s);
    addFault(settings, FaultKind::StopAgent, 3, 10s, 1s);
    settings.callers = 40;
    settings.requestInterval = 250ms;
    for (DeployedService &service : settings.deployment.services) {
        service.runTime = 150ms;
        service.coldSharePercent = 60;
    }
}

void setRevertFailure(ScenarioSettings &settings)
{
    addFault(settings, FaultKind::ReweightTarget, 1, 1s, 1s);
    addFault(settings, FaultKind::RaceDocuments, 2, 3s, 1s);
    addFault(settings, FaultKind::PlatformRestored, 0, 6s, 1s);
    addFault(settings, FaultKind::CutBalancer, 0, 7s, 2s);
}

using SetFailure = void (*)(ScenarioSettings &);

constexpr std::array<SetFailure, pointCount> failures{setFlowFailure,
                                                      setServiceFailure,
                                                      setColdFailure,
                                                      setOutFailure,
                                                      setAnswerFailure,
                                                      setRefusalFailure,
                                                      setRepeatFailure,
                                                      setDrainFailure,
                                                      setStopFailure,
                                                      setRevertFailure};

}

PointScenario pointScenario(int point, quint64 seed)
{
    RP_ASSERT(point >= 1 && point <= pointCount);
    const auto index = static_cast<std::size_t>(point - 1);
    PointScenario scenario;
    scenario.point = point;
    scenario.mechanism = QString::fromLatin1(texts[index].mechanism);
    scenario.baseline = QString::fromLatin1(texts[index].baseline);
    scenario.settings.seed = seed;
    failures[index](scenario.settings);
    return scenario;
}

ScenarioSettings randomScenario(quint64 seed, std::size_t faultCount)
{
    ScenarioSettings settings;
    settings.seed = seed;
    // Even seeds run the deployment of Régie, odd seeds that of Swan.
    settings.deployment = seed % 2 == 0 ? Deployment::regie(1) : Deployment::swan(1);
    settings.faults = generateFaultPlan(seed, faultCount, settings.duration - 3s);
    settings.callers = 20;
    settings.links = LinkSettings{.loss = 0.005, .duplication = 0.01, .reordering = 0.02};
    settings.shedProbability = 0.01;
    return settings;
}

}
