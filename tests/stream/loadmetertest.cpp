#include <stream/loadmeter.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

const TimePoint start = TimePoint{} + 1h;

}

// Guards against a service time that contains the wait in the target's queue: a full target would look slow for long.
TEST(LoadMeterTest, QueuedRequestsAreNoSample)
{
    LoadMeter meter(2);
    EXPECT_TRUE(meter.begin(start));
    EXPECT_TRUE(meter.begin(start));
    EXPECT_FALSE(meter.begin(start));
    EXPECT_EQ(meter.inProgress(), 3);
    meter.answer(start + 10ms, 10ms, true);
    meter.answer(start + 10ms, 10ms, true);
    meter.answer(start + 500ms, 500ms, false);
    EXPECT_EQ(meter.report(start + 500ms).serviceMicroseconds, 10'000);
    EXPECT_EQ(meter.report(start + 500ms).requestsInProgress, 0);
}

// Guards against a mean that stays high after the load has gone, or that jumps with one request.
TEST(LoadMeterTest, MeanFollowsOverAboutASecond)
{
    LoadMeter meter(2);
    meter.begin(start);
    meter.begin(start);
    EXPECT_LT(meter.report(start + 50ms).meanInProgressHundredths, 20);
    EXPECT_GT(meter.report(start + 3s).meanInProgressHundredths, 180);
    meter.abandon(start + 3s);
    meter.abandon(start + 3s);
    EXPECT_LT(meter.report(start + 8s).meanInProgressHundredths, 5);
}
