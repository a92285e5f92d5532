#include <core/metrics.h>

#include <QJsonArray>

#include <gtest/gtest.h>

#include <thread>
#include <vector>

using namespace Rattanpick;

// Guards against lost increments when several threads count concurrently.
TEST(MetricsTest, CountsFromThreadsAreComplete)
{
    constexpr quint64 threads = 4;
    constexpr quint64 additions = 10000;
    Metrics metrics;
    {
        std::vector<std::jthread> workers;
        workers.reserve(threads);
        for (quint64 index = 0; index < threads; ++index) {
            workers.emplace_back([&metrics] {
                Counter &packets = metrics.counter(QStringLiteral("packets"));
                Histogram &wait = metrics.histogram(QStringLiteral("wait"));
                for (quint64 addition = 0; addition < additions; ++addition) {
                    packets.add();
                    wait.add(static_cast<double>(addition));
                }
            });
        }
    }
    EXPECT_EQ(metrics.counter(QStringLiteral("packets")).value(), threads * additions);
    EXPECT_EQ(metrics.histogram(QStringLiteral("wait")).count(), threads * additions);
}

// Guards against a snapshot that omits a kind of metric, or histogram values outside the bins.
TEST(MetricsTest, SnapshotHoldsEverything)
{
    Metrics metrics;
    metrics.counter(QStringLiteral("dropped")).add(3);
    metrics.gauge(QStringLiteral("flows")).set(7);
    metrics.gauge(QStringLiteral("flows")).add(-2);
    Histogram &wait = metrics.histogram(QStringLiteral("wait"), {1, 1000, 3});
    for (const double value : {0.0, -1.0, 5.0, 50.0, 5000.0}) {
        wait.add(value);
    }
    const QJsonObject snapshot = metrics.snapshot();
    EXPECT_EQ(snapshot[QLatin1String("counters")][QLatin1String("dropped")].toInteger(), 3);
    EXPECT_EQ(snapshot[QLatin1String("gauges")][QLatin1String("flows")].toInteger(), 5);
    const QJsonObject histogram = snapshot[QLatin1String("histograms")][QLatin1String("wait")].toObject();
    EXPECT_EQ(histogram[QLatin1String("count")].toInteger(), 5);
    EXPECT_EQ(histogram[QLatin1String("below")].toInteger(), 2);
    EXPECT_EQ(histogram[QLatin1String("above")].toInteger(), 1);
    EXPECT_EQ(histogram[QLatin1String("bins")].toArray().size(), 2);
}

// Guards against a quantile that is not the upper bound of the bin that contains it.
TEST(MetricsTest, QuantileIsTheUpperEndOfItsBin)
{
    Histogram histogram({1, 1000, 3});
    EXPECT_EQ(histogram.quantile(0.5), 0);
    for (int index = 0; index < 9; ++index) {
        histogram.add(5);
    }
    histogram.add(500);
    EXPECT_NEAR(histogram.quantile(0.5), 10, 1e-6);
    EXPECT_NEAR(histogram.quantile(0.99), 1000, 1e-6);
}

// Guards against text that Prometheus cannot parse: metric names with dots, buckets that are not cumulative, or a
// missing total.
TEST(MetricsTest, TextHasTheExpositionFormat)
{
    Metrics metrics;
    metrics.counter(QStringLiteral("events.FlowOpened")).add(3);
    Histogram &histogram = metrics.histogram(QStringLiteral("request.microseconds"), HistogramSettings{.lower = 1, .upper = 100, .bins = 2});
    for (const double value : {0.5, 5.0, 50.0, 500.0}) {
        histogram.add(value);
    }
    EXPECT_EQ(metrics.toText(),
              "# TYPE rattanpick_events_FlowOpened counter\n"
              "rattanpick_events_FlowOpened 3\n"
              "# TYPE rattanpick_request_microseconds histogram\n"
              "rattanpick_request_microseconds_bucket{le=\"10\"} 2\n"
              "rattanpick_request_microseconds_bucket{le=\"100\"} 3\n"
              "rattanpick_request_microseconds_bucket{le=\"+Inf\"} 4\n"
              "rattanpick_request_microseconds_sum 555.5\n"
              "rattanpick_request_microseconds_count 4\n");
}
