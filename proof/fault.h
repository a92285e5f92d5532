#pragma once

#include "core/timepoint.h"

#include <QString>
#include <QtGlobal>

#include <cstddef>
#include <vector>

namespace Rattanpick::Proof
{

/// What a run can be made to suffer, or what its operators do.
enum class FaultKind : quint8 {
    // Processes
    KillBalancer,
    KillAgent,
    StopAgent,
    FreezeBalancer,
    FreezeAgent,
    // Network
    CutDataCentre,
    CutAgent,
    CutBalancer,
    LossyNetwork,
    LossyPair,
    // Targets
    RestartTarget,
    TurnTargetCold,
    SlowTarget,
    // Platform
    PlatformDown,
    PlatformStale,
    PlatformRestored,
    // Operators
    DrainTarget,
    AddTarget,
    RemoveTarget,
    ReweightTarget,
    TakeOutDataCentre,
    RaceDocuments,
    ReuseAddress,
    Count,
};

/// One fault: begins at a time after the start of the run, is undone after its duration.
struct Fault
{
    FaultKind kind = FaultKind::KillBalancer;
    Duration at{};
    Duration duration{};
    /// Which balancer, target or data centre, modulo their number.
    std::size_t subject = 0;

    bool operator==(const Fault &) const = default;

    /// "KillAgent 3 at 2000 ms for 1000 ms".
    QString toString() const;
};

/// The faults of a run in any order.
using FaultPlan = std::vector<Fault>;

/// A plan with @p count faults drawn from the seed, at least three kinds among them, all begun within the span.
FaultPlan drawFaultPlan(quint64 seed, std::size_t count, Duration span);

/// All faults of a plan on one line.
QString describe(const FaultPlan &plan);

}
