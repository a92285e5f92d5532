#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// How the load of a target that has recently started is limited.
enum class ColdStartStrategy : quint8 {
    /// The permitted share rises with the time over which response times are good.
    Ramp,
    /// Full load is permitted at once; the baseline for comparisons in tests.
    NoRamp,
};

/// Parameters of a ColdStartRamp.
struct ColdStartRampSettings
{
    ColdStartStrategy strategy = ColdStartStrategy::Ramp;
    /// The share permitted to a cold target, in percent.
    int coldSharePercent = 10;
    /// How long response times must stay good until full load is permitted.
    Duration warmTime = 30s;
    /// Response times below this multiple of the baseline count as good.
    int goodMultiple = 2;
    /// Response times above this multiple of the baseline count as slow.
    int slowMultiple = 3;
    /// Number of slow response times within the window after which the target is treated as cold.
    int slowLimit = 8;
    /// Number of latest response times in the window, below 64.
    int slowWindow = 16;
    /// Number of consecutive slow responses to overlapping requests after which the target is treated as cold, provided
    /// that the latest @c goodSingleLimit requests that ran alone at the target were not slow.
    int slowOverlapLimit = 3;
    int goodSingleLimit = 6;
    /// The longest time that one good response adds to the ramp, besides the ramp's own interval between starts.
    Duration maximumCredit = 1s;

    bool operator==(const ColdStartRampSettings &) const = default;
};

}
