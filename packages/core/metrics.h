#pragma once

#include "core/counter.h"
#include "core/gauge.h"
#include "core/histogram.h"

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <map>
#include <memory>
#include <mutex>

namespace Rattanpick
{

/// Registry of the named metrics of a process. Thread-safe.
///
/// Looking up a metric takes a lock, updating it does not. Worker threads therefore look up each metric once and keep
/// the reference, which stays valid for the lifetime of the Metrics object.
class Metrics
{
public:
    Metrics() = default;
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// The counter with the given name, created at the first call.
    Counter &counter(const QString &name);

    /// The gauge with the given name, created at the first call.
    Gauge &gauge(const QString &name);

    /// The histogram with the given name, created with @p settings at the first call. Later calls ignore @p settings.
    Histogram &histogram(const QString &name, const HistogramSettings &settings = {});

    /// All metrics in the Prometheus text exposition format. Names start with "rattanpick_".
    QByteArray toText() const;

    /// Returns an object with the keys counters, gauges and histograms, each an object keyed by metric name.
    QJsonObject snapshot() const;

private:
    mutable std::mutex m_mutex;
    std::map<QString, std::unique_ptr<Counter>> m_counters;
    std::map<QString, std::unique_ptr<Gauge>> m_gauges;
    std::map<QString, std::unique_ptr<Histogram>> m_histograms;
};

}
