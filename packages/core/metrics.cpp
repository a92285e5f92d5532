#include "core/metrics.h"

namespace Rattanpick
{

namespace
{

constexpr int exposedDigits = 6;

/// The exposition format allows letters, digits and underscores in names.
QByteArray exposedName(const QString &name)
{
    QByteArray exposed = "rattanpick_" + name.toLatin1();
    for (char &letter : exposed) {
        const bool isAllowed = (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
        letter = isAllowed ? letter : '_';
    }
    return exposed;
}

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

QByteArray Metrics::toText() const
{
    const std::scoped_lock lock(m_mutex);
    QByteArray text;
    for (const auto &[name, counter] : m_counters) {
        const QByteArray exposed = exposedName(name);
        text += "# TYPE " + exposed + " counter\n" + exposed + ' ' + QByteArray::number(counter->value()) + '\n';
    }
    for (const auto &[name, gauge] : m_gauges) {
        const QByteArray exposed = exposedName(name);
        text += "# TYPE " + exposed + " gauge\n" + exposed + ' ' + QByteArray::number(gauge->value()) + '\n';
    }
    for (const auto &[name, histogram] : m_histograms) {
        const QByteArray exposed = exposedName(name);
        text += "# TYPE " + exposed + " histogram\n";
        for (const Histogram::Cumulative &bin : histogram->cumulative()) {
            text += exposed + "_bucket{le=\"" + QByteArray::number(bin.upTo, 'g', exposedDigits) + "\"} " + QByteArray::number(bin.count) + '\n';
        }
        const QByteArray count = QByteArray::number(histogram->count());
        text += exposed + "_bucket{le=\"+Inf\"} " + count + '\n';
        text += exposed + "_sum " + QByteArray::number(histogram->sum()) + '\n' + exposed + "_count " + count + '\n';
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
