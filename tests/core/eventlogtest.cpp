#include <core/eventlog.h>

#include <gtest/gtest.h>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <thread>
#include <vector>

using namespace Rattanpick;

namespace
{

class CapturingAppender : public log4cplus::Appender
{
public:
    ~CapturingAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
    }

    std::vector<std::string> lines;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        lines.push_back(event.getMessage());
    }
};

EventLogSettings settingsFor(std::size_t eventsKept)
{
    return {QStringLiteral("agent-1"), eventsKept, [] {
                return qint64{1700000000000};
            }};
}

}

// Guards against effects that sort before their causes after a message from a process with a later clock.
TEST(EventLogTest, EventsAfterMergeAreLater)
{
    EventLog log(settingsFor(10));
    EXPECT_EQ(log.record(EventNumber::ProcessStarted).lamport, 1U);
    log.merge(100);
    EXPECT_EQ(log.record(EventNumber::FlowOpened).lamport, 101U);
    log.merge(50);
    EXPECT_EQ(log.record(EventNumber::FlowClosed).lamport, 102U);
    EXPECT_EQ(log.tick(), 103U);
}

// Guards against new events that sort before older ones after a restart of all processes, because clocks restart at 0.
TEST(EventLogTest, ClockBeginsWhereTheSettingsSay)
{
    EventLogSettings settings = settingsFor(10);
    settings.lamportStart = 1'700'000'000'000;
    EventLog log(settings);
    EXPECT_GT(log.record(EventNumber::ProcessStarted).lamport, settings.lamportStart);
    log.merge(100);
    EXPECT_GT(log.tick(), settings.lamportStart);
}

// Guards against unbounded memory use, and against events that are overwritten without being counted.
TEST(EventLogTest, KeepsTheLatestAndCountsTheRest)
{
    EventLog log(settingsFor(3));
    for (int index = 0; index < 5; ++index) {
        log.record(EventNumber::FlowOpened, QString::number(index));
    }
    const QList<Event> events = log.eventsSince(0);
    ASSERT_EQ(events.size(), 3);
    EXPECT_EQ(events.first().detail, QStringLiteral("2"));
    EXPECT_EQ(log.overwritten(), 2U);
    EXPECT_EQ(log.eventsSince(events.at(1).lamport).size(), 1);
    EXPECT_TRUE(log.eventsSince(events.last().lamport).isEmpty());
}

// Guards against a log line that cannot be read back as the event that it was written for.
TEST(EventLogTest, WritesEachEventAsStructuredLine)
{
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("rattanpick.event");
    auto *appender = new CapturingAppender;
    logger.addAppender(log4cplus::SharedAppenderPtr(appender));
    logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);

    EventLog log(settingsFor(3));
    const Event broken = log.record(EventNumber::FlowBroken, QStringLiteral("target lost"), QStringLiteral("udp a -> b"));
    log.record(EventNumber::FlowOpened, QStringLiteral("below the level"));
    ASSERT_EQ(appender->lines.size(), 1U);
    EXPECT_EQ(Event::fromJson(QByteArray::fromStdString(appender->lines.front())), broken);
    logger.removeAllAppenders();
}

// Guards against duplicate clock values when several threads record concurrently.
TEST(EventLogTest, ThreadsGetDistinctClockValues)
{
    constexpr std::size_t threads = 4;
    constexpr std::size_t eventsOfThread = 500;
    EventLog log(settingsFor(threads * eventsOfThread));
    {
        std::vector<std::jthread> workers;
        workers.reserve(threads);
        for (std::size_t index = 0; index < threads; ++index) {
            workers.emplace_back([&log] {
                for (std::size_t event = 0; event < eventsOfThread; ++event) {
                    log.record(EventNumber::FlowOpened);
                }
            });
        }
    }
    const QList<Event> events = log.eventsSince(0);
    ASSERT_EQ(static_cast<std::size_t>(events.size()), threads * eventsOfThread);
    for (qsizetype index = 1; index < events.size(); ++index) {
        ASSERT_LT(events.at(index - 1).lamport, events.at(index).lamport);
    }
}
