#include <configservice/backoff.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>

using namespace Rattanpick;

// Guards against a delay that exceeds the doubled bound or the maximum.
RC_GTEST_PROP(BackoffTest, StaysBelowTheBound, (std::uint32_t seed))
{
    std::mt19937_64 random(seed);
    Backoff backoff(200ms, 30s);
    const TimePoint now{1h};
    Duration bound = 200ms;
    for (int failure = 0; failure < 12; ++failure) {
        backoff.fail(now, random);
        RC_ASSERT(backoff.deadline() >= now);
        RC_ASSERT(backoff.deadline() <= now + bound);
        bound = std::min<Duration>(bound * 2, 30s);
    }
    backoff.succeed();
    RC_ASSERT(backoff.isDue(now));
    backoff.fail(now, random);
    RC_ASSERT(backoff.deadline() <= now + 200ms);
}

// Guards against nodes that retry in lockstep: about half of them must fall into each half of the window.
TEST(BackoffTest, JitterFillsTheWindow)
{
    std::mt19937_64 random(7);
    int early = 0;
    for (int node = 0; node < 1000; ++node) {
        Backoff backoff(30s, 30s);
        backoff.fail(TimePoint{}, random);
        early += backoff.deadline() < TimePoint{15s} ? 1 : 0;
    }
    EXPECT_NEAR(early, 500, 80);
}
