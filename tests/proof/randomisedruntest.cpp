#include <proof/historychecker.h>
#include <proof/pointscenarios.h>
#include <proof/scenariorun.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <sstream>

using namespace Rattanpick;
using namespace Rattanpick::Proof;

namespace
{

/// Number of runs of each property; the fixed seed below makes the results repeatable.
constexpr int runCount = 25;
constexpr std::uint64_t propertySeed = 1;

constexpr int latestFaultMilliseconds = 12000;
constexpr int longestFaultMilliseconds = 9000;
constexpr std::size_t minimumFaults = 3;
constexpr std::size_t maximumFaults = 6;

rc::Gen<Duration> genDuration(int fromMilliseconds, int untilMilliseconds)
{
    return rc::gen::map(rc::gen::inRange(fromMilliseconds, untilMilliseconds), [](int value) { return Duration(std::chrono::milliseconds(value)); });
}

rc::Gen<Fault> genFault(const std::function<bool(FaultKind)> &isWanted)
{
    const auto kind = rc::gen::map(rc::gen::inRange(0, static_cast<int>(FaultKind::Count)), [](int value) { return static_cast<FaultKind>(value); });
    return rc::gen::build<Fault>(rc::gen::set(&Fault::kind, rc::gen::suchThat(kind, isWanted)),
                                 rc::gen::set(&Fault::at, genDuration(0, latestFaultMilliseconds)),
                                 rc::gen::set(&Fault::duration, genDuration(1, longestFaultMilliseconds)),
                                 rc::gen::set(&Fault::subject, rc::gen::inRange<std::size_t>(0, 64)));
}

/// Plans of three to six faults; shrinking removes those that are not needed for the failure.
rc::Gen<FaultPlan> genPlan(const std::function<bool(FaultKind)> &isWanted)
{
    return rc::gen::mapcat(rc::gen::inRange(minimumFaults, maximumFaults + 1),
                           [isWanted](std::size_t count) { return rc::gen::container<FaultPlan>(count, genFault(isWanted)); });
}

/// The violations of a random run with the plan, as text; empty if all points hold.
std::string violationsOf(quint64 seed, const FaultPlan &plan)
{
    ScenarioSettings settings = randomScenario(seed, minimumFaults);
    settings.faults = plan;
    ScenarioRun run(settings);
    run.run();
    std::string text;
    for (const Violation &violation : HistoryChecker().check(run.history())) {
        text += describe(violation, run.history()).toStdString() + "\n";
    }
    return text;
}

void checkPlans(const std::function<bool(FaultKind)> &isWanted, bool isShrunk)
{
    rc::detail::TestParams params;
    params.seed = propertySeed;
    params.maxSuccess = runCount;
    params.disableShrinking = !isShrunk;
    rc::detail::TestMetadata metadata;
    metadata.id = "RandomisedRun";
    const auto result = rc::detail::checkTestable(
        [&isWanted] {
            const auto seed = *rc::gen::inRange<quint64>(1, 1000000);
            const auto plan = *genPlan(isWanted);
            const std::string violations = violationsOf(seed, plan);
            RC_LOG() << "seed " << seed << ": " << describe(plan).toStdString() << "\n" << violations;
            RC_ASSERT(violations.empty());
        },
        metadata,
        params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
}

}

// Guards against combinations of faults that violate one of the ten points.
TEST(RandomisedRunTest, KeepsAllPoints)
{
    checkPlans([](FaultKind kind) { return kind != FaultKind::TurnTargetCold; }, true);
}

// Guards against a target that becomes cold without notice and continues to receive more load than it can handle.
TEST(RandomisedRunTest, NoticesSilentChangeToCold)
{
    // No shrinking, because it would take minutes when the test fails.
    checkPlans([](FaultKind kind) { return kind == FaultKind::TurnTargetCold || kind == FaultKind::FreezeBalancer || kind == FaultKind::ReweightTarget; },
               false);
}

// Guards against runs that cannot be repeated because of hidden state, unordered containers or addresses used as keys.
TEST(RandomisedRunTest, RepeatsExactlyFromItsSeed)
{
    const auto textOf = [](quint64 seed) {
        ScenarioRun run(randomScenario(seed, maximumFaults));
        run.run();
        QString text;
        for (std::size_t index = 0; index < run.history().records().size(); ++index) {
            text += run.history().describe(index) + QLatin1Char('\n');
        }
        return text;
    };
    EXPECT_EQ(textOf(5), textOf(5));
    EXPECT_NE(textOf(5), textOf(7));
}
