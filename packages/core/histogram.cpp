#include "core/histogram.h"

#include "core/assertion.h"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <QJsonArray>

#include <algorithm>
#include <atomic>
#include <cmath>

namespace Rattanpick
{

namespace
{

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using CellStorage = bh::dense_storage<bh::accumulators::thread_safe<quint64>>;
using Cells = bh::histogram<std::tuple<LogAxis>, CellStorage>;

}

class Histogram::Private
{
public:
    explicit Private(const HistogramSettings &histogramSettings)
        : cells(bh::make_histogram_with(CellStorage(), LogAxis(histogramSettings.bins, histogramSettings.lower, histogramSettings.upper)))
        , settings(histogramSettings)
    {
    }

    quint64 at(int index) const
    {
        return cells.at(index);
    }

    // Index -1 is the underflow cell, index size() the overflow cell.
    int size() const
    {
        return cells.axis().size();
    }

    Cells cells;
    HistogramSettings settings;
    std::atomic<double> sum = 0;
};

Histogram::Histogram(const HistogramSettings &settings)
    : m_private(std::make_unique<Private>(settings))
{
    RP_ASSERT(settings.lower > 0 && settings.upper > settings.lower && settings.bins > 0);
}

Histogram::~Histogram() = default;

void Histogram::add(double value)
{
    // The logarithm of a non-positive value is undefined, and Boost would count it as overflow; count it as underflow.
    m_private->sum.fetch_add(value, std::memory_order_relaxed);
    m_private->cells(value > 0 ? value : m_private->settings.lower / 2);
}

std::vector<Histogram::Cumulative> Histogram::cumulative() const
{
    std::vector<Cumulative> bins;
    quint64 accumulated = m_private->at(-1);
    for (int index = 0; index < m_private->size(); ++index) {
        accumulated += m_private->at(index);
        bins.push_back({m_private->cells.axis().bin(index).upper(), accumulated});
    }
    return bins;
}

double Histogram::sum() const
{
    return m_private->sum.load(std::memory_order_relaxed);
}

quint64 Histogram::count() const
{
    quint64 sum = 0;
    for (int index = -1; index <= m_private->size(); ++index) {
        sum += m_private->at(index);
    }
    return sum;
}

double Histogram::quantile(double fraction) const
{
    const quint64 total = count();
    if (total == 0) {
        return 0;
    }
    const quint64 rank = std::max<quint64>(1, static_cast<quint64>(std::ceil(fraction * static_cast<double>(total))));
    quint64 accumulated = 0;
    for (int index = -1; index < m_private->size(); ++index) {
        accumulated += m_private->at(index);
        if (accumulated >= rank) {
            return index < 0 ? m_private->settings.lower : m_private->cells.axis().bin(index).upper();
        }
    }
    return m_private->settings.upper;
}

QJsonObject Histogram::toJson() const
{
    QJsonArray bins;
    for (int index = 0; index < m_private->size(); ++index) {
        const quint64 value = m_private->at(index);
        if (value == 0) {
            continue;
        }
        const auto bin = m_private->cells.axis().bin(index);
        bins.append(QJsonObject{
            {QStringLiteral("from"), bin.lower()},
            {QStringLiteral("to"), bin.upper()},
            {QStringLiteral("count"), static_cast<qint64>(value)},
        });
    }
    return {
        {QStringLiteral("count"), static_cast<qint64>(count())},
        {QStringLiteral("below"), static_cast<qint64>(m_private->at(-1))},
        {QStringLiteral("above"), static_cast<qint64>(m_private->at(m_private->size()))},
        {QStringLiteral("p50"), quantile(0.5)},
        {QStringLiteral("p90"), quantile(0.9)},
        {QStringLiteral("p99"), quantile(0.99)},
        {QStringLiteral("bins"), bins},
    };
}

}
