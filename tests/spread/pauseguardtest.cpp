#include <spread/pauseguard.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

// Guards against a process that acts on its old state after a pause, also before its first step.
TEST(PauseGuardTest, HoldsAfterAPauseUntilCompared)
{
    PauseGuard guard;
    const TimePoint start{1h};
    EXPECT_FALSE(guard.step(start));
    EXPECT_FALSE(guard.step(start + 900ms));
    EXPECT_FALSE(guard.isHolding(start + 900ms));
    EXPECT_TRUE(guard.isHolding(start + 5s));
    EXPECT_TRUE(guard.step(start + 5s));
    EXPECT_TRUE(guard.isHolding(start + 5s + 100ms));
    guard.onCompared();
    EXPECT_FALSE(guard.isHolding(start + 5s + 100ms));
    EXPECT_EQ(guard.pauses(), 1U);
}

// Guards against a lone process that never serves again.
TEST(PauseGuardTest, GoesOnAloneAfterASecond)
{
    PauseGuard guard;
    const TimePoint start{1h};
    guard.step(start);
    EXPECT_TRUE(guard.step(start + 3s));
    EXPECT_FALSE(guard.step(start + 3500ms));
    EXPECT_TRUE(guard.isHolding(start + 3500ms));
    EXPECT_FALSE(guard.step(start + 4s));
    EXPECT_FALSE(guard.isHolding(start + 4s));
    EXPECT_EQ(guard.unansweredPauses(), 1U);
}
