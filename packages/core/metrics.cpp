#include "core/metrics.h"

namespace Rattanpick
{

namespace
{

template <typename Kind, typename... Arguments>
Kind &findOrMake(std::map<QString, std::unique_ptr<Kind>> &kinds, const QString &name, const Arguments &...arguments)
{
    std::unique_ptr<Kind> &kind = kinds[name];
    if (kind == nullptr) {
        kind = std::make_unique<Kind>(arguments...);
    }
    return *kind;
}

}

Counter &Metrics::counter(const QString &name)
{
    const std::scoped_lock lock(m_mutex);
    return findOrMake(m_counters, name);
}

Gauge &Metrics::gauge(const QString &name)
{
    const std::scoped_lock lock(m_mutex);
    return findOrMake(m_gauges, name);
}

Histogram &Metrics::histogram(const QString &name, const HistogramSettings &settings)
{
    const std::scoped_lock lock(m_mutex);
    return findOrMake(m_histograms, name, settings);
}

QJsonObject Metrics::snapshot() const
{
    const std::scoped_lock lock(m_mutex);
    QJsonObject counters;
    for (const auto &[name, counter] : m_counters) {
        counters.insert(name, static_cast<qint64>(counter->value()));
    }
    QJsonObject gauges;
    for (const auto &[name, gauge] : m_gauges) {
        gauges.insert(name, gauge->value());
    }
    QJsonObject histograms;
    for (const auto &[name, histogram] : m_histograms) {
        histograms.insert(name, histogram->toJson());
    }
    return {
        {QStringLiteral("counters"), counters},
        {QStringLiteral("gauges"), gauges},
        {QStringLiteral("histograms"), histograms},
    };
}

}
