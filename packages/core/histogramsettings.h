#pragma once

namespace Rattanpick
{

/// Settings of a Histogram with bins of equal width on a logarithmic scale.
struct HistogramSettings
{
    /// Lower bound of the first bin, greater than 0.
    double lower = 1;
    /// Upper bound of the last bin, greater than lower.
    double upper = 1e8;
    /// Number of bins, at least 1. With 64 bins over eight decades, each upper bound is a third above the lower one.
    unsigned bins = 64;

    bool operator==(const HistogramSettings &) const = default;
};

}
