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

/// The named measurements of a process; safe to use from any thread.
///
/// Duties look a measurement up once and keep the reference, which stays valid as long as the Metrics object:
/// the look-up takes a lock, the counting does not.
class Metrics
{
public:
    Metrics() = default;
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// The counter of the name; made at the first call.
    Counter &counter(const QString &name);

    /// The gauge of the name; made at the first call.
    Gauge &gauge(const QString &name);

    /// The histogram of the name; made with @p settings at the first call, later ones ignore them.
    Histogram &histogram(const QString &name, const HistogramSettings &settings = {});

    /// All measurements in the text exposition format that Prometheus reads; names start with "rattanpick_".
    QByteArray toText() const;

    /// The object with the keys counters, gauges and histograms, each an object by name.
    QJsonObject snapshot() const;

private:
    mutable std::mutex m_mutex;
    std::map<QString, std::unique_ptr<Counter>> m_counters;
    std::map<QString, std::unique_ptr<Gauge>> m_gauges;
    std::map<QString, std::unique_ptr<Histogram>> m_histograms;
};

}
