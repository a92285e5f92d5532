#include <stream/freshnessmonitor.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

using namespace Rattanpick;

namespace
{

const TimePoint start = TimePoint{} + 1h;

const Endpoint peer{0x0a010001, 7720};

/// A reader whose directory is at the revision.
FreshnessMonitor monitorAt(quint64 revision)
{
    FreshnessMonitor monitor(FreshnessMonitorSettings{}, start);
    monitor.setReader(true);
    monitor.setIsolated(false);
    monitor.onPosition(start, revision, true);
    return monitor;
}

}

// Guards against a watch that delivers nothing for seconds while versions are published.
TEST(FreshnessMonitorTest, ReadsAgainWhenTheWatchIsStalled)
{
    FreshnessMonitor monitor = monitorAt(12);
    EXPECT_FALSE(monitor.takeDueVerification(start + 800ms));
    ASSERT_TRUE(monitor.takeDueVerification(start + 1700ms));
    EXPECT_FALSE(monitor.takeDueVerification(start + 1700ms));
    monitor.onVerified(start + 1710ms, start + 1700ms, 14);
    EXPECT_FALSE(monitor.takeDueFetch(start + 1800ms));
    EXPECT_TRUE(monitor.takeDueFetch(start + 1710ms + FreshnessMonitorSettings{}.watchDelayLimit));
    EXPECT_FALSE(monitor.takeDueFetch(start + 3s));
}

// Guards against a change that takes longer than three seconds because it is published just after a verification.
RC_GTEST_PROP(FreshnessMonitorTest, ChangesAreReadWithinTheBound, ())
{
    FreshnessMonitorSettings settings;
    settings.seed = *rc::gen::arbitrary<quint64>();
    FreshnessMonitor monitor(settings, start);
    monitor.setReader(*rc::gen::arbitrary<bool>());
    monitor.setIsolated(false);
    monitor.onPosition(start, 12, true);
    const TimePoint change = start + std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    TimePoint now = start;
    while (!monitor.takeDueFetch(now)) {
        RC_ASSERT(now - change < 2500ms);
        if (monitor.takeDueVerification(now)) {
            monitor.onVerified(now, now, now >= change ? 13 : 12);
        }
        now += 10ms;
    }
}

// Guards against calls to the source from every process: a revision that a peer has verified needs no further call.
TEST(FreshnessMonitorTest, PeerVerificationsReplaceTheCall)
{
    FreshnessMonitor monitor = monitorAt(12);
    for (int step = 0; step < 100; ++step) {
        const TimePoint now = start + step * 200ms;
        monitor.onPeerPosition(now, peer, 12, {100ms, 0});
        EXPECT_FALSE(monitor.takeDueVerification(now));
    }
}

// Guards against a call or a full read for changes that the watch delivers anyway.
TEST(FreshnessMonitorTest, FetchWaitsForTheWatch)
{
    FreshnessMonitor monitor = monitorAt(12);
    monitor.onPeerPosition(start + 100ms, peer, 13, {0ms, 0});
    monitor.onPosition(start + 500ms, 13, true);
    EXPECT_FALSE(monitor.takeDueFetch(start + 10s));
}

// Guards against a request storm on a source that does not respond.
TEST(FreshnessMonitorTest, FailedVerificationsAreSpaced)
{
    FreshnessMonitor monitor = monitorAt(12);
    int calls = 0;
    for (int step = 0; step < 1000; ++step) {
        const TimePoint now = start + step * 10ms;
        if (monitor.takeDueVerification(now)) {
            ++calls;
            monitor.onVerificationFailed(now);
        }
    }
    EXPECT_LE(calls, 14);
    EXPECT_GE(calls, 8);
}

// Guards against a process that reads an update announced by a peer from the source, as would all other processes.
TEST(FreshnessMonitorTest, NonReadersPullFromTheUpdateSource)
{
    FreshnessMonitor monitor = monitorAt(12);
    monitor.setReader(false);
    monitor.onPeerPosition(start + 100ms, peer, 13, {0ms, 0});
    EXPECT_TRUE(monitor.takeDueFetch(start + 150ms));
    EXPECT_EQ(monitor.updateSource(), peer);
    // After a failed fetch, the next message triggers another one.
    monitor.onPeerPosition(start + 300ms, peer, 13, {0ms, 0});
    EXPECT_TRUE(monitor.takeDueFetch(start + 350ms));
}

// Guards against a reader that goes on with an outdated directory while the source turns it away, although its peers have the changes.
TEST(FreshnessMonitorTest, ReadersPullWhatTheirWatchDoesNotDeliver)
{
    FreshnessMonitor monitor = monitorAt(12);
    monitor.onPeerPosition(start + 100ms, peer, 13, {0ms, 0});
    ASSERT_TRUE(monitor.takeDueFetch(start + 100ms + FreshnessMonitorSettings{}.watchDelayLimit));
    EXPECT_EQ(monitor.updateSource(), peer);
    EXPECT_TRUE(monitor.needsFullRead()) << "the watch may be stalled for good";
    // Once the source has refused a call, there is no watch to wait for.
    monitor.setReader(false);
    monitor.onPeerPosition(start + 1s, peer, 14, {0ms, 0});
    EXPECT_TRUE(monitor.takeDueFetch(start + 1s + FreshnessMonitorSettings{}.batchInterval));
    EXPECT_FALSE(monitor.needsFullRead());
}

// Guards against a process that receives no messages and works with an outdated directory.
TEST(FreshnessMonitorTest, StaleProcessesQueryPeers)
{
    FreshnessMonitor monitor = monitorAt(12);
    EXPECT_FALSE(monitor.takeDueQuery(start + 500ms));
    EXPECT_TRUE(monitor.takeDueQuery(start + 600ms));
    EXPECT_FALSE(monitor.takeDueQuery(start + 700ms));
    EXPECT_TRUE(monitor.takeDueQuery(start + 900ms));
    monitor.onPeerPosition(start + 910ms, peer, 12, {0ms, 0});
    EXPECT_FALSE(monitor.takeDueQuery(start + 1300ms));
}

// Guards against a process that has started from a seed and treats the position of the seed as verified.
TEST(FreshnessMonitorTest, PositionsOfPeersAreNotVerified)
{
    FreshnessMonitor monitor(FreshnessMonitorSettings{}, start);
    monitor.onPosition(start, 12, false);
    EXPECT_GT(monitor.age(start), 1min);
    monitor.onPeerPosition(start + 100ms, peer, 12, {300ms, 0});
    EXPECT_EQ(monitor.age(start + 100ms), 300ms);
}

// Guards against processes that keep each other's verification young: the age that a message tells lacks the time that it was under way.
// With a thousand messages a second no process asked the source for its revision any more while the readers were turned away.
RC_GTEST_PROP(FreshnessMonitorTest, MessagesKeepNoVerificationYoung, ())
{
    const auto interval = std::chrono::microseconds(*rc::gen::inRange(200, 20'000));
    const auto underway = std::chrono::microseconds(*rc::gen::inRange(100, 20'000));
    std::vector<FreshnessMonitor> monitors;
    const std::size_t processes = *rc::gen::inRange<std::size_t>(2, 6);
    for (std::size_t index = 0; index < processes; ++index) {
        monitors.emplace_back(FreshnessMonitorSettings{.seed = index + 1}, start);
        monitors.back().setIsolated(false);
        monitors.back().onPosition(start, 12, index == 0);
    }
    struct Sent
    {
        TimePoint arrival;
        std::size_t from = 0;
        quint16 verification = 0;
    };
    std::deque<Sent> sent;
    std::size_t round = 0;
    for (TimePoint now = start; now < start + 3s; now += interval) {
        for (; !sent.empty() && sent.front().arrival <= now; sent.pop_front()) {
            const std::size_t to = (sent.front().from + 1 + round++ % (processes - 1)) % processes;
            monitors[to].onPeerPosition(now, peer, 12, VerificationAge::fromWire(sent.front().verification));
        }
        for (std::size_t index = 0; index < processes; ++index) {
            if (monitors[index].takeDueVerification(now)) {
                return;
            }
            sent.push_back({now + underway, index, monitors[index].reportedVerification(now).toWire()});
        }
    }
    RC_FAIL("no process asks the source");
}

// Guards against a verification that is passed on for ever, and against a process that keeps its own one to itself.
TEST(FreshnessMonitorTest, VerificationsArePassedOnThreeTimes)
{
    FreshnessMonitor monitor = monitorAt(12);
    EXPECT_EQ(monitor.reportedVerification(start + 100ms), (VerificationAge{100ms, 0}));
    monitor.onPeerPosition(start + 500ms, peer, 12, {100ms, 0});
    EXPECT_EQ(monitor.reportedVerification(start + 500ms), (VerificationAge{100ms, 1}));
    monitor.onPeerPosition(start + 800ms, peer, 12, {100ms, 1});
    EXPECT_EQ(monitor.reportedVerification(start + 800ms), (VerificationAge{100ms, 2}));
    monitor.onPeerPosition(start + 900ms, peer, 12, {0ms, 2});
    EXPECT_EQ(monitor.age(start + 900ms), 0ms);
    EXPECT_EQ(monitor.reportedVerification(start + 900ms), (VerificationAge{200ms, 2})) << "the latest one has been passed on three times";
    monitor.onPeerPosition(start + 1s, peer, 12, {0ms, 3});
    EXPECT_EQ(monitor.age(start + 1s), 100ms);
}
