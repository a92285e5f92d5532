#pragma once

#include "proof/deployment.h"
#include "proof/fakenetwork.h"
#include "proof/fault.h"

#include <cstddef>
#include <vector>

namespace Rattanpick::Proof
{

/// How balancers choose targets; all but Home also replace the agents by PlainFlowAgent.
enum class RoutingKind : quint8 {
    /// The production strategy: candidates, home agents, service hunting by load, directories.
    Home,
    /// Weighted Maglev hashing; agents own every flow that reaches them.
    Maglev,
    /// Hash of the flow modulo the number of targets; agents own every flow that reaches them.
    Uniform,
    /// First candidate, then the first candidate of the previous table; agents own every flow that reaches them.
    DaisyChain,
};

/// Settings of a ScenarioRun, which is deterministic: equal settings give equal runs.
struct ScenarioSettings
{
    quint64 seed = 1;
    Deployment deployment = Deployment::regie(1);
    RoutingKind routing = RoutingKind::Home;
    /// Point (1 to 10) whose mechanism is replaced by its baseline; 0 to replace none.
    int baselinePoint = 0;
    int balancersPerDataCentre = 1;
    /// Spare targets for each service, which the AddTarget and ReuseAddress faults put into service.
    int spareTargets = 1;

    /// Number of callers; each keeps one flow open.
    int callers = 24;
    Duration requestInterval = 400ms;
    Duration requestDeadline = 2s;
    double idempotentShare = 0.3;
    double cancelShare = 0.02;
    Duration dataInterval = 500ms;
    /// Mean time until a flow is closed and another one opened; zero to keep flows open.
    Duration flowLifetime{};
    /// Share of the flows that go to the first service; the others go to the second.
    double firstServiceShare = 0.7;

    /// Speeds assigned to the targets in turn.
    std::vector<double> speeds{1};
    bool targetsStartWarm = true;
    double shedProbability = 0;

    /// Behaviour of datagram links while no network fault is active.
    LinkSettings links;
    FaultPlan faults;
    /// Time before the first fault.
    Duration warmUp = 3s;
    /// Time during which faults may begin and end.
    Duration duration = 15s;
    /// Time without faults and new requests before the final check of the flows.
    Duration settling = 8s;
    Duration step = 10ms;
};

}
