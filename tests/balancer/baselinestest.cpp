#include <balancer/daisychainrouting.h>
#include <balancer/maglevrouting.h>
#include <balancer/uniformrouting.h>
#include <tests/balancer/testconfiguration.h>

#include <cmath>
#include <gtest/gtest.h>
#include <map>

using namespace Rattanpick;

namespace
{

constexpr quint32 flowSample = 60000;

std::map<TargetId, double> sharesOf(const RoutingStrategy &strategy)
{
    std::map<TargetId, double> shares;
    for (quint32 number = 0; number < flowSample; ++number) {
        const HopList hops = strategy.hopsOf(testService, flow(number));
        EXPECT_EQ(hops.size(), 1U);
        shares[hops.at(0).target] += 1.0 / flowSample;
    }
    return shares;
}

}

// Guards against a Maglev baseline whose shares do not match the weights, which would bias comparisons against it.
TEST(BaselinesTest, MaglevSharesFollowWeights)
{
    std::vector<Target> all{target(0, 100), target(1, 200), target(2, 300), target(3, 400)};
    MaglevRouting maglev;
    maglev.applyConfiguration(configuration(1, all));
    const auto shares = sharesOf(maglev);
    for (const Target &one : all) {
        EXPECT_NEAR(shares.at(one.id), one.weight / 1000.0, 0.01);
    }
}

// Guards against a Maglev baseline that moves more flows than the Maglev algorithm does.
TEST(BaselinesTest, MaglevMovesFewOtherFlows)
{
    auto all = targets(10);
    MaglevRouting before;
    before.applyConfiguration(configuration(1, all));
    const TargetId left = all.back().id;
    all.pop_back();
    MaglevRouting after = before;
    after.applyConfiguration(configuration(2, all));
    quint32 moved = 0;
    for (quint32 number = 0; number < flowSample; ++number) {
        const TargetId first = before.hopsOf(testService, flow(number)).at(0).target;
        moved += first != left && first != after.hopsOf(testService, flow(number)).at(0).target ? 1U : 0U;
    }
    EXPECT_LT(moved, flowSample / 20);
}

// Guards against a uniform baseline that favours a target.
TEST(BaselinesTest, UniformSharesAreEqual)
{
    UniformRouting uniform;
    uniform.applyConfiguration(configuration(1, {target(0, 1), target(1, 1000), target(2, 100)}));
    for (const auto &[id, share] : sharesOf(uniform)) {
        EXPECT_NEAR(share, 1.0 / 3, 0.01);
    }
}

// Guards against a daisy chain that consults more than one earlier table.
TEST(BaselinesTest, DaisyChainFollowsOneEarlierTable)
{
    DaisyChainRouting chain;
    for (int number = 0; number < 3; ++number) {
        chain.applyConfiguration(configuration(static_cast<quint64>(number) + 1, {target(number)}));
    }
    const HopList hops = chain.hopsOf(testService, flow(1));
    ASSERT_EQ(hops.size(), 2U);
    EXPECT_EQ(hops.at(0).target, target(2).id);
    EXPECT_EQ(hops.at(1).target, target(1).id);
}

// Guards against baselines that crash on a service without serving targets.
TEST(BaselinesTest, NoServingTargetGivesNoHop)
{
    const auto empty = configuration(1, {});
    MaglevRouting maglev;
    UniformRouting uniform;
    DaisyChainRouting chain;
    for (RoutingStrategy *strategy : std::initializer_list<RoutingStrategy *>{&maglev, &uniform, &chain}) {
        strategy->applyConfiguration(empty);
        EXPECT_EQ(strategy->hopsOf(testService, flow(1)).size(), 0U);
    }
}
