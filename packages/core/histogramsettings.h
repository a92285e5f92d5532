#pragma once

namespace Rattanpick
{

/// What a Histogram is built from: bins of equal width on a logarithmic scale.
struct HistogramSettings
{
    /// Lower end of the first bin, above 0.
    double lower = 1;
    /// Upper end of the last bin, above lower.
    double upper = 1e8;
    /// The number of bins, at least 1; 64 over eight decades give a width of a third.
    unsigned bins = 64;

    bool operator==(const HistogramSettings &) const = default;
};

}
