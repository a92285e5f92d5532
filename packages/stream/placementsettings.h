#pragma once

#include "core/timepoint.h"
#include "stream/balancingsettings.h"

#include <QString>

namespace Rattanpick
{

/// The settings of a Placement.
struct PlacementSettings
{
    /// The data centre of this process.
    QString dataCentre;
    BalancingSettings balancing{};
    /// How long a target that did not answer an opening is ranked last; a restarted agent is back within this time.
    Duration suspicionTime = 500ms;
    /// Time between two pings of a target that did not answer.
    Duration pingInterval = 150ms;
    /// Lifetime of a load report; after that the target counts as idle.
    Duration loadReportLifetime = 3s;
    /// How long a target that has just begun to drain may still get flows if there is no other; well below any drain
    /// time.
    Duration drainingGrace = 1s;
    /// Service time before the first load report.
    Duration assumedServiceTime = 20ms;
    /// What a failed request costs its caller: about the timeout of one attempt.
    Duration failureCost = 500ms;
    /// Failure rates up to this one are ignored. A single failure weighs 0.08; without the tolerance it moved flows
    /// away from healthy targets whose agent had been restarted.
    double failureTolerance = 0.12;
    /// A target whose answers are shorter than those of the others by more than this share is assumed to fail the
    /// missing share of its requests; the lengths of good answers differ by a third.
    double shortAnswerShare = 0.6;
    /// Lower bound of a target's service time, as a share of the others' service time: immediate answers indicate
    /// failures.
    double minimumServiceTimeShare = 0.5;
    /// Interval at which the medians of a service are computed; they change slowly.
    Duration baselineInterval = 200ms;
    /// Cost of placing a flow in another data centre: two traversals of the link and the traffic on it.
    Duration interDataCentreCost = 4ms;

    bool operator==(const PlacementSettings &) const = default;
};

}
