#pragma once

#include "proof/deployment.h"
#include "proof/fakenetwork.h"
#include "proof/fault.h"

#include <cstddef>
#include <vector>

namespace Rattanpick::Proof
{

/// How balancers choose targets, and which agents go with it.
enum class RoutingKind : quint8 {
    /// The design: candidates, homes, hunting by load, directories.
    Home,
    /// Weighted Maglev hashing; agents own what they get.
    Maglev,
    /// Hash of the flow modulo the number of targets; agents own what they get.
    Uniform,
    /// First candidate, then the first candidate of the table before; agents own what they get.
    DaisyChain,
};

/// What a ScenarioRun is built from; a run repeats exactly from these values.
struct ScenarioSettings
{
    quint64 seed = 1;
    Deployment deployment = Deployment::regie(1);
    RoutingKind routing = RoutingKind::Home;
    /// Point whose mechanism is replaced by its baseline, 1 to 10; 0 for the whole design.
    int naivePoint = 0;
    int balancersPerDataCentre = 1;
    /// Spare targets for each service, which operators may add.
    int spareTargets = 1;

    /// Flows kept open by callers.
    int callers = 24;
    Duration requestInterval = 400ms;
    Duration requestDeadline = 2s;
    double idempotentShare = 0.3;
    double cancelShare = 0.02;
    Duration dataInterval = 500ms;
    /// Mean time until a flow is closed and another one opened; zero for flows that last.
    Duration flowLifetime{};
    /// Share of the flows that go to the first service; the others go to the second.
    double firstServiceShare = 0.7;

    /// Speeds of the targets in turn.
    std::vector<double> speeds{1};
    bool targetsStartWarm = true;
    double shedProbability = 0;

    /// Behaviour of datagram links outside of faults.
    LinkSettings links;
    FaultPlan faults;
    /// Time before the first fault.
    Duration warmUp = 3s;
    /// Time with faults.
    Duration duration = 15s;
    /// Time without faults and requests before the flows are checked.
    Duration settling = 8s;
    Duration step = 10ms;
};

}
