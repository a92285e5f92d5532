#include <stream/freshnessguard.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

const TimePoint start = TimePoint{} + 1h;

const Endpoint peer{0x0a010001, 7720};

/// A reader at the revision.
FreshnessGuard guardAt(quint64 revision)
{
    FreshnessGuard guard(FreshnessGuardSettings{}, start);
    guard.setReader(true);
    guard.setAlone(false);
    guard.onRevision(start, revision, true);
    return guard;
}

}

// Guards against a watch that brings nothing for seconds while versions are published.
TEST(FreshnessGuardTest, ReadsAgainWhenTheWatchIsDeaf)
{
    FreshnessGuard guard = guardAt(12);
    EXPECT_FALSE(guard.takeVerification(start + 800ms));
    ASSERT_TRUE(guard.takeVerification(start + 1700ms));
    EXPECT_FALSE(guard.takeVerification(start + 1700ms));
    guard.onVerified(start + 1710ms, start + 1700ms, 14);
    EXPECT_FALSE(guard.takeFetch(start + 1800ms));
    EXPECT_TRUE(guard.takeFetch(start + 1710ms + FreshnessGuardSettings{}.patience));
    EXPECT_FALSE(guard.takeFetch(start + 3s));
}

// Guards against a bound of three seconds being missed: a change may come just after a verification.
RC_GTEST_PROP(FreshnessGuardTest, ChangesAreReadWithinTheBound, ())
{
    FreshnessGuardSettings settings;
    settings.seed = *rc::gen::arbitrary<quint64>();
    FreshnessGuard guard(settings, start);
    guard.setReader(*rc::gen::arbitrary<bool>());
    guard.setAlone(false);
    guard.onRevision(start, 12, true);
    const TimePoint change = start + std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    TimePoint now = start;
    while (!guard.takeFetch(now)) {
        RC_ASSERT(now - change < 2500ms);
        if (guard.takeVerification(now)) {
            guard.onVerified(now, now, now >= change ? 13 : 12);
        }
        now += 10ms;
    }
}

// Guards against calls of every process: what a peer has verified needs no call.
TEST(FreshnessGuardTest, PeersSpareTheCall)
{
    FreshnessGuard guard = guardAt(12);
    for (int step = 0; step < 100; ++step) {
        const TimePoint now = start + step * 200ms;
        guard.onPeer(now, peer, 12, 100ms);
        EXPECT_FALSE(guard.takeVerification(now));
    }
}

// Guards against a call or a reading for changes that the watch brings by itself.
TEST(FreshnessGuardTest, WatchIsGivenTime)
{
    FreshnessGuard guard = guardAt(12);
    guard.onPeer(start + 100ms, peer, 13, 0ms);
    guard.onRevision(start + 500ms, 13, true);
    EXPECT_FALSE(guard.takeFetch(start + 10s));
}

// Guards against a stampede on a source that does not answer.
TEST(FreshnessGuardTest, FailedVerificationsAreSpaced)
{
    FreshnessGuard guard = guardAt(12);
    int calls = 0;
    for (int step = 0; step < 1000; ++step) {
        const TimePoint now = start + step * 10ms;
        if (guard.takeVerification(now)) {
            ++calls;
            guard.onVerificationFailed(now);
        }
    }
    EXPECT_LE(calls, 14);
    EXPECT_GE(calls, 8);
}

// Guards against news that a process learns from a peer and then reads from the source, as would all others.
TEST(FreshnessGuardTest, OthersAskTheInformant)
{
    FreshnessGuard guard = guardAt(12);
    guard.setReader(false);
    guard.onPeer(start + 100ms, peer, 13, 0ms);
    EXPECT_TRUE(guard.takeFetch(start + 150ms));
    EXPECT_EQ(guard.informant(), peer);
    // A fetch that failed is asked for again by the next message.
    guard.onPeer(start + 300ms, peer, 13, 0ms);
    EXPECT_TRUE(guard.takeFetch(start + 350ms));
}

// Guards against a process that nobody talks to and that decides on an old directory.
TEST(FreshnessGuardTest, StaleProcessesAsk)
{
    FreshnessGuard guard = guardAt(12);
    EXPECT_FALSE(guard.takeQuestion(start + 500ms));
    EXPECT_TRUE(guard.takeQuestion(start + 600ms));
    EXPECT_FALSE(guard.takeQuestion(start + 700ms));
    EXPECT_TRUE(guard.takeQuestion(start + 900ms));
    guard.onPeer(start + 910ms, peer, 12, 0ms);
    EXPECT_FALSE(guard.takeQuestion(start + 1300ms));
}

// Guards against a process that started from a seed and takes what the seed knew for verified.
TEST(FreshnessGuardTest, RevisionsOfPeersAreNotVerified)
{
    FreshnessGuard guard(FreshnessGuardSettings{}, start);
    guard.onRevision(start, 12, false);
    EXPECT_GT(guard.age(start), 1min);
    guard.onPeer(start + 100ms, peer, 12, 300ms);
    EXPECT_EQ(guard.age(start + 100ms), 300ms);
}
