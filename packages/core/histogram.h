#pragma once

#include "core/histogramsettings.h"

#include <QJsonObject>
#include <QtGlobal>

#include <memory>
#include <vector>

namespace Rattanpick
{

/// The distribution of a measured value, such as a latency in microseconds. Thread-safe.
class Histogram
{
public:
    /// Creates an empty histogram.
    explicit Histogram(const HistogramSettings &settings = {});
    ~Histogram();

    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    /// Adds a value. Values outside the range of the bins are counted as underflow (below) or overflow (above).
    void add(double value);

    /// The number of values added, including those outside the bins.
    quint64 count() const;

    /// The upper bound of the bin that contains the quantile @p fraction (0 to 1); 0 if the histogram is empty.
    double quantile(double fraction) const;

    /// One cumulative bin: its upper bound and the number of values up to that bound.
    struct Cumulative
    {
        double upTo = 0;
        quint64 count = 0;
    };

    /// The cumulative bins in ascending order. Values above the last bin are included in count() only.
    std::vector<Cumulative> cumulative() const;

    /// The sum of all values added.
    double sum() const;

    /// Returns an object with the keys count, below, above, p50, p90, p99 and bins (from, to, count). Empty bins are
    /// omitted.
    QJsonObject toJson() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

}
