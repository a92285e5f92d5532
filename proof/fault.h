#pragma once

#include "core/timepoint.h"

#include <QString>
#include <QtGlobal>

#include <cstddef>
#include <vector>

namespace Rattanpick::Proof
{

/// Kinds of injected faults and of operator changes.
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

/// A fault that begins at a time after the warm-up and is undone after its duration.
struct Fault
{
    FaultKind kind = FaultKind::KillBalancer;
    Duration at{};
    Duration duration{};
    /// Index of the affected balancer, target or data centre, modulo their number.
    std::size_t subject = 0;

    bool operator==(const Fault &) const = default;

    /// Text such as "KillAgent 3 at 2000 ms for 1000 ms".
    QString toString() const;
};

/// The faults of a run in any order.
using FaultPlan = std::vector<Fault>;

/// A plan with @p count random faults of at least three kinds that begin within the span; depends on the seed only.
FaultPlan generateFaultPlan(quint64 seed, std::size_t count, Duration span);

/// The faults of a plan on one line.
QString describe(const FaultPlan &plan);

}
