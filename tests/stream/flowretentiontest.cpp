#include "streamtestdata.h"

#include <stream/flowretention.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

void publish(TargetDirectory &directory, TimePoint now, quint64 version, Duration idleTimeout)
{
    directory.apply(now, RoutesPublished{version, routes(version, {route}, 0, idleTimeout)});
}

}

// Guards against a deadline that stays where the timeout in force at the latest packet has put it.
TEST(FlowRetentionTest, ExpiryFollowsTheTimeoutInForce)
{
    TargetDirectory directory({});
    const FlowRetention retention({}, directory);
    publish(directory, start, 1, 8s);
    EXPECT_EQ(retention.expiry(start, false), start + 13s);
    EXPECT_EQ(retention.expiry(start, true), start + 3s);
    publish(directory, start, 2, 30s);
    EXPECT_EQ(retention.expiry(start, false), start + 35s);
    publish(directory, start, 3, 1s);
    EXPECT_EQ(retention.expiry(start, false), start + 6s);
}

// Guards against a table that counts as complete although flows were removed from it after the time that is known to be clear.
TEST(FlowRetentionTest, LaterUnknownFlowsAreNotForgotten)
{
    TargetDirectory directory({});
    FlowRetention retention({}, directory);
    publish(directory, start, 1, 8s);
    retention.recordUnknown(start);
    EXPECT_FALSE(retention.isComplete(start));
    retention.forgetUnknown(start);
    EXPECT_TRUE(retention.isComplete(start));
    retention.recordUnknown(start + 1s);
    retention.forgetUnknown(start);
    EXPECT_FALSE(retention.isComplete(start + 2s));
}

// Guards against a denial of flows that this process has removed itself: the table is judged by a plain model in which a
// flow is in use as long as it has never been idle for as long as the timeout in force. Timeouts are raised and lowered
// while flows are idle, each change reaches the process late, and the process restarts without its table.
RC_GTEST_PROP(FlowRetentionTest, FlowsInUseAreKeptOrTheTableIsIncomplete, ())
{
    constexpr int flowCount = 4;
    const FlowRetentionSettings settings;
    TargetDirectory directory({});
    auto retention = std::make_unique<FlowRetention>(settings, directory);
    struct ModelFlow
    {
        TimePoint latestActivity = start;
        bool isInUse = true;
        bool hasEntry = true;
        TimePoint nextCheck = start;
    };
    std::array<ModelFlow, flowCount> flows;
    const auto anyTimeout = rc::gen::map(rc::gen::inRange(1, 60), [](int seconds) { return Duration(std::chrono::seconds(seconds)); });
    Duration timeout = *anyTimeout;
    quint64 version = 1;
    publish(directory, start, version, timeout);
    std::deque<std::pair<TimePoint, Duration>> pending;
    const int changePercent = *rc::gen::inRange(1, 30);
    const int packetPercent = *rc::gen::inRange(1, 30);
    const int restartPercent = *rc::gen::inRange(0, 4);
    for (TimePoint now = start; now < start + 200s; now += 500ms) {
        if (*rc::gen::inRange(0, 100) < changePercent) {
            timeout = *anyTimeout;
            const auto delay = std::chrono::milliseconds(*rc::gen::inRange(0, 4999));
            pending.emplace_back(std::max(now + delay, pending.empty() ? now : pending.back().first), timeout);
        }
        for (; !pending.empty() && now >= pending.front().first; pending.pop_front()) {
            publish(directory, now, ++version, pending.front().second);
        }
        if (*rc::gen::inRange(0, 100) < restartPercent) {
            retention = std::make_unique<FlowRetention>(settings, directory);
            retention->recordUnknown(now);
            for (ModelFlow &flow : flows) {
                flow.hasEntry = false;
            }
        }
        for (ModelFlow &flow : flows) {
            flow.isInUse = flow.isInUse && now - flow.latestActivity < timeout;
            if (flow.isInUse && *rc::gen::inRange(0, 100) < packetPercent) {
                RC_ASSERT(flow.hasEntry || !retention->isComplete(now));
                flow.latestActivity = now;
                flow.hasEntry = true;
            }
            if (now < flow.nextCheck) {
                continue;
            }
            flow.nextCheck = now + 1s;
            if (flow.hasEntry && now >= retention->expiry(flow.latestActivity, false)) {
                retention->recordUnknown(flow.latestActivity);
                flow.hasEntry = false;
            }
            RC_ASSERT(flow.hasEntry || !flow.isInUse || !retention->isComplete(now));
        }
    }
}

// Guards against an agent that denies flows before it knows which timeout is in force.
TEST(FlowRetentionTest, TableIsIncompleteWithoutConfiguration)
{
    TargetDirectory directory({});
    FlowRetention retention({}, directory);
    retention.recordUnknown(start);
    EXPECT_FALSE(retention.isComplete(start + 1h));
    publish(directory, start + 1h, 1, 30s);
    EXPECT_TRUE(retention.isComplete(start + 1h));
}

// Guards against questions to a target that cannot hold an older flow.
TEST(FlowRetentionTest, TableOfATargetThatHasJustStartedIsComplete)
{
    TargetDirectory directory({});
    FlowRetention retention({}, directory);
    retention.recordUnknown(start);
    retention.onTargetStarted();
    EXPECT_TRUE(retention.isComplete(start));
    publish(directory, start, 1, 30s);
    retention.recordUnknown(start + 5s);
    EXPECT_FALSE(retention.isComplete(start + 6s));
}
