#include <stream/answermeter.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

constexpr TimePoint start = TimePoint{} + 1h;

/// Answers of a healthy target: 700 to 1,100 bytes after 10 to 28 ms.
TimePoint addTypicalAnswers(AnswerMeter &meter, TimePoint from, int count)
{
    TimePoint now = from;
    for (int number = 0; number < count; ++number) {
        now += 10ms;
        meter.answered(now, static_cast<quint16>(700 + number % 5 * 100), std::chrono::milliseconds(10 + number % 7 * 3));
    }
    return now;
}

}

// Guards against healthy targets that are counted as failing and get no flows.
TEST(AnswerMeterTest, TypicalAnswersAreNoFailures)
{
    AnswerMeter meter;
    const TimePoint now = addTypicalAnswers(meter, start, 200);
    EXPECT_EQ(meter.failurePermille(now), 0);
    EXPECT_GT(meter.meanBytes(now), 700);
    EXPECT_LT(meter.meanBytes(now), 1100);
}

// Guards against a target that fails half of its requests immediately and attracts flows because it looks fast and
// idle.
TEST(AnswerMeterTest, QuickAndShortAnswersAreFailures)
{
    AnswerMeter meter;
    TimePoint now = addTypicalAnswers(meter, start, 50);
    for (int number = 0; number < 10; ++number) {
        now = addTypicalAnswers(meter, now, 1);
        meter.answered(now += 1ms, 120, 1ms);
    }
    EXPECT_GT(meter.failurePermille(now), 250);
}

// Guards against short answers that are counted as failures although they took a normal time.
TEST(AnswerMeterTest, SlowShortAnswersAreNoFailures)
{
    AnswerMeter meter;
    TimePoint now = addTypicalAnswers(meter, start, 50);
    for (int number = 0; number < 10; ++number) {
        meter.answered(now += 10ms, 120, 15ms);
    }
    EXPECT_EQ(meter.failurePermille(now), 0);
}

// Guards against a recovered target that gets no flows because its failure rate stays high, and so cannot show that it
// has recovered.
TEST(AnswerMeterTest, FailuresDecay)
{
    AnswerMeter meter;
    TimePoint now = start;
    for (int number = 0; number < 30; ++number) {
        meter.failed(now += 10ms);
    }
    EXPECT_GT(meter.failurePermille(now), 800);
    EXPECT_LT(meter.failurePermille(now + 10s), 50);
}

// Guards against a mean of old answers that is still reported for a target that has not answered for long.
TEST(AnswerMeterTest, OldAnswersAreNotReported)
{
    AnswerMeter meter;
    const TimePoint now = addTypicalAnswers(meter, start, 20);
    EXPECT_GT(meter.meanBytes(now), 0);
    EXPECT_EQ(meter.meanBytes(now + 4s), 0);
}
