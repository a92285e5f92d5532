#pragma once

#include "proof/scenariosettings.h"

#include <QString>

namespace Rattanpick::Proof
{

/// Number of points P1 to P10 that the design guarantees, see HistoryChecker.
inline constexpr int pointCount = 10;

/// A point of the design with the failure that its mechanism protects against.
struct PointScenario
{
    int point = 0;
    /// Mechanism that ensures the point.
    QString mechanism;
    /// What replaces the mechanism in the baseline run.
    QString baseline;
    /// Settings of the run with the mechanism.
    ScenarioSettings settings;
};

/// The scenario of a point, 1 to 10.
PointScenario pointScenario(int point, quint64 seed);

/// Settings of a run with @p faultCount random faults of at least three kinds, drawn from the seed.
ScenarioSettings randomScenario(quint64 seed, std::size_t faultCount);

}
