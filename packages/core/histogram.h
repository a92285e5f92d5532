#pragma once

#include "core/histogramsettings.h"

#include <QJsonObject>
#include <QtGlobal>

#include <memory>
#include <vector>

namespace Rattanpick
{

/// The distribution of a value, such as a time in microseconds; safe to use from any thread.
class Histogram
{
public:
    /// Builds an empty histogram.
    explicit Histogram(const HistogramSettings &settings = {});
    ~Histogram();

    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    /// Counts the value; values outside the bins are counted as below or above.
    void add(double value);

    /// The values counted so far.
    quint64 count() const;

    /// The upper end of the bin that holds the share @p fraction (0 to 1) of the values; 0 if there are none.
    double quantile(double fraction) const;

    /// One bin: its upper end, and the values up to there from the lowest on.
    struct Cumulative
    {
        double upTo = 0;
        quint64 count = 0;
    };

    /// The bins in rising order; values above the last are counted by count() only.
    std::vector<Cumulative> cumulative() const;

    /// The sum of all values.
    double sum() const;

    /// The object with the keys count, below, above, p50, p90, p99 and bins (from, to, count; empty bins left out).
    QJsonObject toJson() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

}
