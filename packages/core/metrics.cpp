#include "core/metrics.h"

namespace Rattanpick
{

namespace
{

constexpr int significantDigits = 6;

/// Replaces all characters that the exposition format does not allow in names.
QByteArray prometheusName(const QString &name)
{
    QByteArray metricName = "rattanpick_" + name.toLatin1();
    for (char &character : metricName) {
        const bool isAllowed = (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        character = isAllowed ? character : '_';
    }
    return metricName;
}

template <typename Metric, typename... Arguments>
Metric &findOrCreate(std::map<QString, std::unique_ptr<Metric>> &metrics, const QString &name, const Arguments &...arguments)
{
    std::unique_ptr<Metric> &metric = metrics[name];
    if (metric == nullptr) {
        metric = std::make_unique<Metric>(arguments...);
    }
    return *metric;
}

}

Counter &Metrics::counter(const QString &name)
{
    const std::scoped_lock lock(m_mutex);
    return findOrCreate(m_counters, name);
}

Gauge &Metrics::gauge(const QString &name)
{
    const std::scoped_lock lock(m_mutex);
    return findOrCreate(m_gauges, name);
}

Histogram &Metrics::histogram(const QString &name, const HistogramSettings &settings)
{
    const std::scoped_lock lock(m_mutex);
    return findOrCreate(m_histograms, name, settings);
}

QByteArray Metrics::toText() const
{
    const std::scoped_lock lock(m_mutex);
    QByteArray text;
    for (const auto &[name, counter] : m_counters) {
        const QByteArray metricName = prometheusName(name);
        text += "# TYPE " + metricName + " counter\n" + metricName + ' ' + QByteArray::number(counter->value()) + '\n';
    }
    for (const auto &[name, gauge] : m_gauges) {
        const QByteArray metricName = prometheusName(name);
        text += "# TYPE " + metricName + " gauge\n" + metricName + ' ' + QByteArray::number(gauge->value()) + '\n';
    }
    for (const auto &[name, histogram] : m_histograms) {
        const QByteArray metricName = prometheusName(name);
        text += "# TYPE " + metricName + " histogram\n";
        for (const Histogram::Cumulative &bin : histogram->cumulative()) {
            text += metricName + "_bucket{le=\"" + QByteArray::number(bin.upTo, 'g', significantDigits) + "\"} " + QByteArray::number(bin.count) + '\n';
        }
        const QByteArray count = QByteArray::number(histogram->count());
        text += metricName + "_bucket{le=\"+Inf\"} " + count + '\n';
        text += metricName + "_sum " + QByteArray::number(histogram->sum()) + '\n' + metricName + "_count " + count + '\n';
    }
    return text;
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
