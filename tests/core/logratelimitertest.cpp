#include <core/eventlog.h>
#include <core/logratelimiter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

// Guards against a log whose volume follows the load.
RC_GTEST_PROP(LogRateLimiterTest, VolumeIsBounded, ())
{
    LogRateLimiter rateLimiter;
    const TimePoint start = TimePoint{} + 1h;
    const auto perSecond = *rc::gen::inRange(1, 5000);
    int written = 0;
    for (int line = 0; line < 10 * perSecond; ++line) {
        written += rateLimiter.take(start + line * 1s / perSecond, EventNumber::FlowOpened) ? 1 : 0;
    }
    const LogRateLimit &limit = LogRateLimiter::defaultLimits.front();
    RC_ASSERT(written <= limit.burst + 10 * limit.linesPerSecond + 1);
    RC_ASSERT(written >= std::min<double>(10 * perSecond, limit.burst + 9 * limit.linesPerSecond));
}

// Guards against lines of flows that use up the limit of more severe levels.
TEST(LogRateLimiterTest, LevelsHaveTheirOwnLimit)
{
    LogRateLimiter rateLimiter;
    const TimePoint start = TimePoint{} + 1h;
    for (int line = 0; line < 1000; ++line) {
        rateLimiter.take(start, EventNumber::FlowOpened);
    }
    EXPECT_TRUE(rateLimiter.take(start, EventNumber::FlowBroken));
    EXPECT_TRUE(rateLimiter.take(start, EventNumber::ConfigurationAccepted));
}

// Guards against suppressed lines that are not counted and reported.
TEST(LogRateLimiterTest, SuppressedLinesAreCounted)
{
    LogRateLimiter rateLimiter;
    const TimePoint start = TimePoint{} + 1h;
    EXPECT_FALSE(rateLimiter.takeSuppressed(start));
    for (int line = 0; line < 100; ++line) {
        rateLimiter.take(start, EventNumber::FlowOpened);
    }
    EXPECT_EQ(rateLimiter.takeSuppressed(start), QStringLiteral("FlowOpened 40"));
    EXPECT_FALSE(rateLimiter.takeSuppressed(start + 2s));
}

// Guards against suppressed events that are not kept in memory, and against a sink that gets every line.
TEST(LogRateLimiterTest, EventLogKeepsWhatItDoesNotWrite)
{
    std::vector<Event> written;
    EventLogSettings settings;
    settings.process = QStringLiteral("p1");
    settings.sink = [&written](const Event &event) {
        written.push_back(event);
    };
    settings.rateLimiter = LogRateLimiter();
    EventLog log(settings);
    for (int line = 0; line < 100; ++line) {
        log.record(EventNumber::FlowOpened);
    }
    EXPECT_GE(written.size(), 60);
    EXPECT_LT(written.size(), 70);
    EXPECT_GE(log.eventsSince(0).size(), 100);
}
