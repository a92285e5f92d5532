#include <stream/loadmeter.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

const TimePoint start = TimePoint{} + 1h;

/// Keeps the target full: @p slots requests run, and as many more are queued in it.
void keepFull(LoadMeter &meter, TimePoint &now, quint32 slots, Duration serviceTime, int rounds)
{
    while (meter.inProgress() < 2 * slots) {
        meter.begin(now);
    }
    for (int round = 0; round < rounds; ++round) {
        for (quint32 slot = 0; slot < slots; ++slot) {
            now += serviceTime / slots;
            meter.answer(now);
            meter.begin(now);
        }
    }
}

}

// Guards against a service time that includes the wait in the target's queue, so that a full target looks slow for
// long.
TEST(LoadMeterTest, QueuedRequestsAreNoSample)
{
    LoadMeter meter(2);
    TimePoint now = start;
    keepFull(meter, now, 2, 10ms, 60);
    EXPECT_NEAR(meter.report(now).serviceMicroseconds, 10'000, 300);
    EXPECT_EQ(meter.report(now).requestsInProgress, 4);
}

// Guards against a full target that looks four times as fast as it is: after a power loss, the fastest of the first
// requests was the only sample, and 52 openings waited at the target for 0.7 s (swan-towpath, trouble-1).
TEST(LoadMeterTest, BusyTargetReportsItsServiceTime)
{
    LoadMeter meter(5);
    TimePoint now = start;
    keepFull(meter, now, 5, 10ms, 1);
    keepFull(meter, now, 5, 50ms, 6);
    EXPECT_GT(meter.report(now).serviceMicroseconds, 40'000);
    EXPECT_LT(meter.report(now).serviceMicroseconds, 52'000);
    // The service time of a target that has stopped answering keeps rising.
    EXPECT_GT(meter.report(now + 1s).serviceMicroseconds, 200'000);
}

// Guards against a target that looks slow because its restarted agent counted retransmitted segments as requests.
TEST(LoadMeterTest, DiscardedRequestsTakeNoTime)
{
    LoadMeter meter(2);
    TimePoint now = start;
    keepFull(meter, now, 2, 10ms, 60);
    while (meter.inProgress() > 0) {
        meter.answer(now);
    }
    const quint32 before = meter.report(now).serviceMicroseconds;
    meter.begin(now);
    now += 500ms;
    meter.discard(now, now - 500ms);
    EXPECT_NEAR(meter.report(now).serviceMicroseconds, before, 100);
}

// Guards against a mean that stays high after the load is gone, or that jumps with a single request.
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
