#pragma once

#include "core/timepoint.h"

#include <QString>

namespace Rattanpick
{

/// What a Placement is built from.
struct PlacementSettings
{
    /// The data centre of this process.
    QString dataCentre;
    /// How long a target that did not answer an opening is tried last; a restarted agent is back within this time.
    Duration suspicionTime = 500ms;
    /// Time between two pings of a target that did not answer.
    Duration pingInterval = 150ms;
    /// How long a load report is used before the target counts as idle again.
    Duration loadMemory = 3s;
    /// How long a target that has just started to drain may still take flows if no other can; well below any drain time.
    Duration drainingGrace = 1s;
    /// Service time assumed while none is known.
    Duration assumedServiceTime = 20ms;
    /// What a failed request costs its caller: about the time-out of an attempt.
    Duration failureCost = 500ms;
    /// Failed shares up to this one do not count: one failure alone, which weighs 0.08, moved the flows of a calm day away
    /// from targets whose agent was restarted.
    double failureTolerance = 0.12;
    /// A target whose answers are shorter than those of the others by this share fails the missing share of its requests;
    /// the lengths of good answers differ by a third.
    double shortAnswerShare = 0.6;
    /// A target is not taken for faster than this share of the others' service time: what answers at once fails.
    double fastestShare = 0.5;
    /// Time between two looks at what is usual among the targets of a service; it changes with the mean of many requests.
    Duration normInterval = 200ms;
    /// What a flow to another data centre costs: two crossings of the link, and its bytes.
    Duration crossingCost = 4ms;

    bool operator==(const PlacementSettings &) const = default;
};

}
