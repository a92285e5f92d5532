#include <proof/historychecker.h>
#include <proof/pointscenarios.h>
#include <proof/scenariorun.h>

#include <gtest/gtest.h>

using namespace Rattanpick;
using namespace Rattanpick::Proof;

namespace
{

std::vector<Violation> violationsOf(int point, bool isBaseline)
{
    ScenarioSettings settings = pointScenario(point, 1).settings;
    settings.baselinePoint = isBaseline ? point : 0;
    ScenarioRun run(settings);
    run.run();
    return HistoryChecker().checkPoint(run.history(), point);
}

}

class PointScenarioTest : public testing::TestWithParam<int>
{
};

// Guards against a scenario that proves nothing because the point holds without its mechanism too.
TEST_P(PointScenarioTest, FailsWithoutMechanism)
{
    EXPECT_FALSE(violationsOf(GetParam(), true).empty());
}

// Guards against a mechanism that does not protect its point against the failure that it is meant for.
TEST_P(PointScenarioTest, HoldsWithMechanism)
{
    EXPECT_TRUE(violationsOf(GetParam(), false).empty());
}

INSTANTIATE_TEST_SUITE_P(Points, PointScenarioTest, testing::Range(1, pointCount + 1));
