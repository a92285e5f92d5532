#include <balancer/homerouting.h>
#include <balancer/router.h>
#include <tests/balancer/testconfiguration.h>

#include <atomic>
#include <cstdlib>
#include <gtest/gtest.h>
#include <new>

using namespace Rattanpick;

namespace
{

std::atomic<std::size_t> allocations = 0;

const TimePoint start{10s};

std::unique_ptr<Router> routerWith(const ConfigurationPointer &document)
{
    auto router = std::make_unique<Router>(RouterSettings{}, std::make_unique<HomeRouting>());
    router->applyConfiguration(document);
    router->onTick(start);
    return router;
}

Suspicion suspicion(const Hop &hop, bool isRefuted = false)
{
    return {hop, Incarnation{5}, isRefuted, TargetId{}};
}

}

void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

// Guards against memory allocation per packet, which would make the routing latency unpredictable.
TEST(RouterTest, RoutingAllocatesNothing)
{
    const auto router = routerWith(configuration(1, targets(7)));
    auto fewer = targets(7);
    fewer.pop_back();
    router->applyConfiguration(configuration(2, fewer));
    router->onSuspicion(start, suspicion({fewer[0].id, {}}));
    const std::size_t before = allocations;
    std::size_t forwarded = 0;
    for (quint32 number = 0; number < 10000; ++number) {
        forwarded += router->route(start, flow(number)).drop == DropReason::None ? 1U : 0U;
    }
    EXPECT_EQ(allocations - before, 0U);
    EXPECT_EQ(forwarded, 10000U);
    EXPECT_GT(before, 0U);
}

// Guards against packets that reach targets of another service or targets that are not in the document.
TEST(RouterTest, ForwardsOnlyToTargetsOfTheService)
{
    Router empty(RouterSettings{}, std::make_unique<HomeRouting>());
    EXPECT_EQ(empty.route(start, flow(1)).drop, DropReason::NoConfiguration);

    const auto router = routerWith(configuration(1, targets(7)));
    FlowKey other = flow(1);
    other.service.port = 7001;
    EXPECT_EQ(router->route(start, other).drop, DropReason::UnknownService);
    const RouteDecision decision = router->route(start, flow(1));
    EXPECT_EQ(decision.service, testService);
    EXPECT_EQ(decision.next, decision.hops.at(0));
    EXPECT_EQ(routerWith(configuration(1, {}))->route(start, flow(1)).drop, DropReason::NoCandidate);
}

// Guards against packets sent to a dead home agent, and against skipping a target whose suspicion was refuted.
TEST(RouterTest, SuspectedTargetsAreSkippedUntilRefuted)
{
    const auto router = routerWith(configuration(1, targets(7)));
    const RouteDecision before = router->route(start, flow(1));
    router->onSuspicion(start, suspicion(before.hops.at(0)));
    const RouteDecision skipped = router->route(start, flow(1));
    EXPECT_EQ(skipped.next, before.hops.at(1));
    EXPECT_EQ(skipped.hops, before.hops);
    router->onSuspicion(start, suspicion(before.hops.at(0), true));
    EXPECT_EQ(router->route(start, flow(1)), before);
}

// Guards against a balancer that drops packets because all targets are suspected.
TEST(RouterTest, AllSuspectedStillForwardsToTheFirst)
{
    const auto router = routerWith(configuration(1, targets(2)));
    for (const Target &one : targets(2)) {
        router->onSuspicion(start, suspicion({one.id, one.agent}));
    }
    const RouteDecision decision = router->route(start, flow(1));
    EXPECT_EQ(decision.drop, DropReason::None);
    EXPECT_EQ(decision.next, decision.hops.at(0));
}

// Guards against a set of suspects that grows with targets that are in no document.
TEST(RouterTest, UnknownSuspectsAreIgnored)
{
    const auto router = routerWith(configuration(1, targets(2)));
    router->onSuspicion(start, suspicion({TargetId{12345}, {}}));
    EXPECT_EQ(router->suspectCount(), 0U);
}

// Guards against packets forwarded by an outdated table after the process was paused.
TEST(RouterTest, PauseDropsPacketsUntilAVersionIsCompared)
{
    const auto router = routerWith(configuration(7, targets(7)));
    EXPECT_EQ(router->route(start + 1s, flow(1)).drop, DropReason::None);
    const TimePoint resumed = start + 2001ms;
    EXPECT_EQ(router->route(resumed, flow(1)).drop, DropReason::HoldingAfterPause);
    EXPECT_EQ(router->pauseCount(), 1U);
    router->onVersionCompared(resumed - 1ms, {7, 7});
    EXPECT_TRUE(router->isQuarantined()) << "a notice received before the process resumed must not end the quarantine";
    router->onVersionCompared(resumed, {8, 1});
    EXPECT_TRUE(router->isQuarantined()) << "a higher version is in force at a peer";
    router->applyConfiguration(configuration(8, targets(6)));
    router->onVersionCompared(resumed, {8, 1});
    EXPECT_EQ(router->route(resumed, flow(1)).drop, DropReason::None);
    EXPECT_EQ(router->unansweredQuarantines(), 0U);
}

// Guards against an isolated balancer that stops serving permanently because no peer answers.
TEST(RouterTest, QuarantineEndsWithoutAnAnswer)
{
    const auto router = routerWith(configuration(1, targets(7)));
    const TimePoint resumed = start + 5s;
    router->onTick(resumed);
    router->onTick(resumed + 999ms);
    EXPECT_TRUE(router->isQuarantined());
    router->onTick(resumed + 1s);
    EXPECT_FALSE(router->isQuarantined());
    EXPECT_EQ(router->unansweredQuarantines(), 1U);
}
