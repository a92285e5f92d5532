#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// How the load of a target that has just started is limited.
enum class ColdStartStrategy : quint8 {
    /// The permitted share rises with the evidence of response times.
    Ramp,
    /// The whole share is permitted at once: the baseline that tests compare with.
    NoRamp,
};

/// What a ColdStartRamp is built from.
struct ColdStartRampSettings
{
    ColdStartStrategy strategy = ColdStartStrategy::Ramp;
    /// The share permitted to a cold target, in percent.
    int coldSharePercent = 10;
    /// How long response times must stay good until the whole share is permitted.
    Duration warmTime = 30s;
    /// Response times below this multiple of the baseline count as good.
    int goodMultiple = 2;
    /// Response times above this multiple of the baseline count as slow.
    int slowMultiple = 3;
    /// How many slow response times within the window show that the target has turned cold.
    int slowLimit = 8;
    /// How many of the latest response times the window holds, below 64.
    int slowWindow = 16;
    /// How many slow responses in a row to overlapping requests show the same, while the latest @c goodSingleLimit requests
    /// that were alone at the target were not slow.
    int slowOverlapLimit = 3;
    int goodSingleLimit = 6;
    /// The longest time that one good response time vouches for, besides the ramp's own pause between starts.
    Duration maximumCredit = 1s;

    bool operator==(const ColdStartRampSettings &) const = default;
};

}
