#include <spread/pauseguard.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

// Guards against a process that acts on outdated state after a pause, including before its first step.
TEST(PauseGuardTest, IsQuarantinedAfterAPauseUntilCompared)
{
    PauseGuard guard;
    const TimePoint start{1h};
    EXPECT_FALSE(guard.step(start));
    EXPECT_FALSE(guard.step(start + 900ms));
    EXPECT_FALSE(guard.isQuarantined(start + 900ms));
    EXPECT_TRUE(guard.isQuarantined(start + 5s));
    EXPECT_TRUE(guard.step(start + 5s));
    EXPECT_TRUE(guard.isQuarantined(start + 5s + 100ms));
    guard.onCompared();
    EXPECT_FALSE(guard.isQuarantined(start + 5s + 100ms));
    EXPECT_EQ(guard.pauses(), 1U);
}

// Guards against an isolated process that stays in quarantine forever.
TEST(PauseGuardTest, QuarantineEndsAfterASecondWithoutPeers)
{
    PauseGuard guard;
    const TimePoint start{1h};
    guard.step(start);
    EXPECT_TRUE(guard.step(start + 3s));
    EXPECT_FALSE(guard.step(start + 3500ms));
    EXPECT_TRUE(guard.isQuarantined(start + 3500ms));
    EXPECT_FALSE(guard.step(start + 4s));
    EXPECT_FALSE(guard.isQuarantined(start + 4s));
    EXPECT_EQ(guard.unansweredPauses(), 1U);
}
