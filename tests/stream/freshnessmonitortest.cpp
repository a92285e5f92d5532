#include <stream/freshnessmonitor.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

const TimePoint start = TimePoint{} + 1h;

const Endpoint peer{0x0a010001, 7720};

/// A reader at the revision.
FreshnessMonitor guardAt(quint64 revision)
{
    FreshnessMonitor guard(FreshnessMonitorSettings{}, start);
    guard.setReader(true);
    guard.setIsolated(false);
    guard.onRevision(start, revision, true);
    return guard;
}

}

// Guards against a watch that brings nothing for seconds while versions are published.
TEST(FreshnessMonitorTest, ReadsAgainWhenTheWatchIsDeaf)
{
    FreshnessMonitor guard = guardAt(12);
    EXPECT_FALSE(guard.takeDueVerification(start + 800ms));
    ASSERT_TRUE(guard.takeDueVerification(start + 1700ms));
    EXPECT_FALSE(guard.takeDueVerification(start + 1700ms));
    guard.onVerified(start + 1710ms, start + 1700ms, 14);
    EXPECT_FALSE(guard.takeDueFetch(start + 1800ms));
    EXPECT_TRUE(guard.takeDueFetch(start + 1710ms + FreshnessMonitorSettings{}.patience));
    EXPECT_FALSE(guard.takeDueFetch(start + 3s));
}

// Guards against a bound of three seconds being missed: a change may come just after a verification.
RC_GTEST_PROP(FreshnessMonitorTest, ChangesAreReadWithinTheBound, ())
{
    FreshnessMonitorSettings settings;
    settings.seed = *rc::gen::arbitrary<quint64>();
    FreshnessMonitor guard(settings, start);
    guard.setReader(*rc::gen::arbitrary<bool>());
    guard.setIsolated(false);
    guard.onRevision(start, 12, true);
    const TimePoint change = start + std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    TimePoint now = start;
    while (!guard.takeDueFetch(now)) {
        RC_ASSERT(now - change < 2500ms);
        if (guard.takeDueVerification(now)) {
            guard.onVerified(now, now, now >= change ? 13 : 12);
        }
        now += 10ms;
    }
}

// Guards against calls of every process: what a peer has verified needs no call.
TEST(FreshnessMonitorTest, PeersSpareTheCall)
{
    FreshnessMonitor guard = guardAt(12);
    for (int step = 0; step < 100; ++step) {
        const TimePoint now = start + step * 200ms;
        guard.onPeerRevision(now, peer, 12, 100ms);
        EXPECT_FALSE(guard.takeDueVerification(now));
    }
}

// Guards against a call or a reading for changes that the watch brings by itself.
TEST(FreshnessMonitorTest, WatchIsGivenTime)
{
    FreshnessMonitor guard = guardAt(12);
    guard.onPeerRevision(start + 100ms, peer, 13, 0ms);
    guard.onRevision(start + 500ms, 13, true);
    EXPECT_FALSE(guard.takeDueFetch(start + 10s));
}

// Guards against a stampede on a source that does not answer.
TEST(FreshnessMonitorTest, FailedVerificationsAreSpaced)
{
    FreshnessMonitor guard = guardAt(12);
    int calls = 0;
    for (int step = 0; step < 1000; ++step) {
        const TimePoint now = start + step * 10ms;
        if (guard.takeDueVerification(now)) {
            ++calls;
            guard.onVerificationFailed(now);
        }
    }
    EXPECT_LE(calls, 14);
    EXPECT_GE(calls, 8);
}

// Guards against news that a process learns from a peer and then reads from the source, as would all others.
TEST(FreshnessMonitorTest, OthersAskTheInformant)
{
    FreshnessMonitor guard = guardAt(12);
    guard.setReader(false);
    guard.onPeerRevision(start + 100ms, peer, 13, 0ms);
    EXPECT_TRUE(guard.takeDueFetch(start + 150ms));
    EXPECT_EQ(guard.updateSource(), peer);
    // A fetch that failed is asked for again by the next message.
    guard.onPeerRevision(start + 300ms, peer, 13, 0ms);
    EXPECT_TRUE(guard.takeDueFetch(start + 350ms));
}

// Guards against a process that nobody talks to and that decides on an old directory.
TEST(FreshnessMonitorTest, StaleProcessesAsk)
{
    FreshnessMonitor guard = guardAt(12);
    EXPECT_FALSE(guard.takeDueQuery(start + 500ms));
    EXPECT_TRUE(guard.takeDueQuery(start + 600ms));
    EXPECT_FALSE(guard.takeDueQuery(start + 700ms));
    EXPECT_TRUE(guard.takeDueQuery(start + 900ms));
    guard.onPeerRevision(start + 910ms, peer, 12, 0ms);
    EXPECT_FALSE(guard.takeDueQuery(start + 1300ms));
}

// Guards against a process that started from a seed and takes what the seed knew for verified.
TEST(FreshnessMonitorTest, RevisionsOfPeersAreNotVerified)
{
    FreshnessMonitor guard(FreshnessMonitorSettings{}, start);
    guard.onRevision(start, 12, false);
    EXPECT_GT(guard.age(start), 1min);
    guard.onPeerRevision(start + 100ms, peer, 12, 300ms);
    EXPECT_EQ(guard.age(start + 100ms), 300ms);
}
