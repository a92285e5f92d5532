#include <stream/coldlimit.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace Rattanpick;

// Guards against a burst across the boundary of two fixed windows: the limit holds for any span of one second.
RC_GTEST_PROP(ColdLimitTest, NoSecondHoldsMoreThanTheLimit, ())
{
    const auto limit = *rc::gen::inRange<std::size_t>(1, 20);
    ColdLimit cold;
    cold.setLimit(limit);
    TimePoint now = TimePoint{} + 1h;
    std::vector<TimePoint> admitted;
    const auto gaps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 60));
    for (const int gap : gaps) {
        now += std::chrono::milliseconds(gap);
        if (cold.admit(now)) {
            admitted.push_back(now);
        }
    }
    for (std::size_t first = 0; first + limit < admitted.size(); ++first) {
        RC_ASSERT(admitted[first + limit] - admitted[first] >= 1s);
    }
    RC_ASSERT(!admitted.empty());
}

// Guards against too many flows within one second if the target turns cold in the middle of it.
TEST(ColdLimitTest, EarlierOpeningsCount)
{
    ColdLimit cold;
    const TimePoint start = TimePoint{} + 1h;
    for (int count = 0; count < 30; ++count) {
        EXPECT_TRUE(cold.admit(start));
    }
    cold.setLimit(10);
    EXPECT_FALSE(cold.admit(start + 500ms));
    EXPECT_TRUE(cold.admit(start + 1200ms));
}
