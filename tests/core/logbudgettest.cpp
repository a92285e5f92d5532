#include <core/eventlog.h>
#include <core/logbudget.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

// Guards against a log whose volume follows the load.
RC_GTEST_PROP(LogBudgetTest, VolumeIsBounded, ())
{
    LogBudget budget;
    const TimePoint start = TimePoint{} + 1h;
    const auto perSecond = *rc::gen::inRange(1, 5000);
    int written = 0;
    for (int line = 0; line < 10 * perSecond; ++line) {
        written += budget.take(start + line * 1s / perSecond, EventNumber::FlowOpened) ? 1 : 0;
    }
    const LogAllowance &allowance = LogBudget::defaultAllowances.front();
    RC_ASSERT(written <= allowance.burst + 10 * allowance.linesPerSecond + 1);
    RC_ASSERT(written >= std::min<double>(10 * perSecond, allowance.burst + 9 * allowance.linesPerSecond));
}

// Guards against lines of flows that use up the allowance of what matters more.
TEST(LogBudgetTest, LevelsHaveTheirOwnAllowance)
{
    LogBudget budget;
    const TimePoint start = TimePoint{} + 1h;
    for (int line = 0; line < 1000; ++line) {
        budget.take(start, EventNumber::FlowOpened);
    }
    EXPECT_TRUE(budget.take(start, EventNumber::FlowBroken));
    EXPECT_TRUE(budget.take(start, EventNumber::ConfigurationAccepted));
}

// Guards against lines that vanish without a word.
TEST(LogBudgetTest, SuppressedLinesAreCounted)
{
    LogBudget budget;
    const TimePoint start = TimePoint{} + 1h;
    EXPECT_FALSE(budget.takeSuppressed(start));
    for (int line = 0; line < 100; ++line) {
        budget.take(start, EventNumber::FlowOpened);
    }
    EXPECT_EQ(budget.takeSuppressed(start), QStringLiteral("FlowOpened 40"));
    EXPECT_FALSE(budget.takeSuppressed(start + 2s));
}

// Guards against an event that is written but not kept, or the other way round, when a sink takes the lines.
TEST(LogBudgetTest, EventLogKeepsWhatItDoesNotWrite)
{
    std::vector<Event> written;
    EventLogSettings settings;
    settings.process = QStringLiteral("p1");
    settings.sink = [&written](const Event &event) {
        written.push_back(event);
    };
    settings.budget = LogBudget();
    EventLog log(settings);
    for (int line = 0; line < 100; ++line) {
        log.record(EventNumber::FlowOpened);
    }
    EXPECT_GE(written.size(), 60);
    EXPECT_LT(written.size(), 70);
    EXPECT_GE(log.eventsSince(0).size(), 100);
}
