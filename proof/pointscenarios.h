#pragma once

#include "proof/scenariosettings.h"

#include <QString>

namespace Rattanpick::Proof
{

/// The number of points on the design page.
inline constexpr int pointCount = 10;

/// One point of the design page with the failure that its mechanism answers.
struct PointScenario
{
    int point = 0;
    /// What keeps the point.
    QString mechanism;
    /// What stands in its place in the other run.
    QString baseline;
    /// The run with the mechanism in place.
    ScenarioSettings settings;
};

/// The scenario of a point, 1 to 10.
PointScenario pointScenario(int point, quint64 seed);

/// A run that mixes @p faultCount faults of at least three kinds, drawn from the seed.
ScenarioSettings randomScenario(quint64 seed, std::size_t faultCount);

}
