#include "streamtestdata.h"

#include <stream/loadmeter.h>
#include <stream/placement.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <functional>
#include <random>
#include <span>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

constexpr int targetCount = 51;
constexpr quint32 slotCount = 2;
constexpr std::array speeds{1.0, 0.6, 1.6};

FlowKey flowNumber(quint32 number)
{
    return {{0x64400000 + number / 50'000, static_cast<quint16>(number % 50'000)}, route};
}

Placement placement(bool usesTwoChoices, int dataCentre = 0)
{
    PlacementSettings settings{.dataCentre = QStringLiteral("dc%1").arg(dataCentre)};
    settings.balancing.usesTwoChoices = usesTwoChoices;
    return Placement(settings);
}

TargetDirectory directory()
{
    std::vector<StreamTarget> targets;
    for (int index = 0; index < targetCount; ++index) {
        targets.push_back(target(index));
    }
    TargetDirectory directory({.agentPort = agentPort});
    for (const DirectoryChange &change : reading(targets)) {
        directory.apply(start, change);
    }
    return directory;
}

/// 25 balancers that place requests of 15 ms on 51 targets and get load reports with answers and once a second.
struct Simulation
{
    struct Agent
    {
        LoadMeter meter{slotCount};
        double speed = 1;
        /// Seconds for which the slots have worked.
        double work = 0;
    };

    Simulation(bool usesTwoChoices, double use, bool hasUnequalSpeeds = false)
    {
        double speedSum = 0;
        for (int index = 0; index < targetCount; ++index) {
            indexes[target(index).id] = index;
            agents[index].speed = hasUnequalSpeeds ? speeds[index / 3 % 3] : 1;
            speedSum += agents[index].speed;
            at(start + index * 19ms, [this, index] { report(index); });
        }
        for (int index = 0; index < 25; ++index) {
            balancers.push_back(placement(usesTwoChoices, index % 3));
        }
        open(use * slotCount * speedSum / 0.015);
        while (events.begin()->first < start + 6s) {
            now = events.begin()->first;
            events.extract(events.begin()).mapped()();
        }
    }

    void at(TimePoint time, std::function<void()> event)
    {
        events.emplace(time, std::move(event));
    }

    TimePoint after(double mean)
    {
        return now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution(1 / mean)(random)));
    }

    void report(int index)
    {
        for (Placement &balancer : balancers) {
            balancer.onLoad(now, target(index).id, agents[index].meter.report(now));
        }
        at(now + 1s, [this, index] { report(index); });
    }

    void open(double perSecond)
    {
        Placement &balancer = balancers[random() % balancers.size()];
        const auto candidates = balancer.order(now, targets, service, flowNumber(++opened), 4);
        balancer.onOffered(now, candidates.front());
        at(now + 1ms, [this, &balancer, candidates] { offer(balancer, candidates, 0); });
        at(after(1 / perSecond), [this, perSecond] { open(perSecond); });
    }

    void offer(Placement &balancer, const std::vector<TargetId> &candidates, std::size_t position)
    {
        const int index = indexes.at(candidates[position]);
        Agent &agent = agents[index];
        if (agent.meter.inProgress() >= slotCount) {
            (position == 0 ? busyFirst : busyLater) += 1;
            if (position + 1 < candidates.size()) {
                at(now + 1ms, [=, this, &balancer] { offer(balancer, candidates, position + 1); });
                return;
            }
        }
        agent.meter.begin(now);
        const LoadReport load = agent.meter.report(now);
        at(now + 1ms, [&balancer, this, id = candidates[position], load] { balancer.onLoad(now, id, load); });
        // The last candidate queues the opening; a wait of one service time for each round of the slots is near enough.
        const double rounds = 1 + (agent.meter.inProgress() - 1) / slotCount;
        agent.work += 0.015 / agent.speed;
        at(after(0.015 / agent.speed * rounds), [this, &agent] { agent.meter.answer(now); });
    }

    double busyShare() const
    {
        return busyFirst / opened;
    }

    /// Work of the agents from @p first in steps, compared with the mean of all.
    double relativeWork(int index) const
    {
        double sum = 0;
        for (const Agent &agent : agents) {
            sum += agent.work;
        }
        return agents[index].work * targetCount / sum;
    }

    double busiest() const
    {
        double most = 0;
        for (int index = 0; index < targetCount; ++index) {
            most = std::max(most, relativeWork(index));
        }
        return most;
    }

    TimePoint now = start;
    TargetDirectory targets = directory();
    std::mt19937 random{1};
    std::multimap<TimePoint, std::function<void()>> events;
    std::map<TargetId, int> indexes;
    std::array<Agent, targetCount> agents;
    std::vector<Placement> balancers;
    quint32 opened = 0;
    double busyFirst = 0;
    double busyLater = 0;
};

}

// Guards against balancers that all send their openings to the target that last seemed idle.
TEST(TwoChoicesTest, FewOpeningsMeetBusySlots)
{
    for (const double use : {0.2, 0.4, 0.6}) {
        const Simulation before(false, use);
        const Simulation after(true, use);
        std::printf("use %.1f: openings %u busy share %.3f -> %.3f, later %.3f -> %.3f, busiest over mean %.2f -> %.2f\n",
                    use,
                    after.opened,
                    before.busyShare(),
                    after.busyShare(),
                    before.busyLater / before.opened,
                    after.busyLater / after.opened,
                    before.busiest(),
                    after.busiest());
        EXPECT_LE(after.busyShare(), before.busyShare() / 2) << use;
        EXPECT_LE(after.busiest(), before.busiest()) << use;
    }
}

// Guards against slow targets that get as many flows as fast ones, and fast ones that get nearly all.
TEST(TwoChoicesTest, UnequalSpeedsGetLoadInProportion)
{
    const Simulation simulation(true, 0.4, true);
    std::array<double, 3> work{};
    for (int index = 0; index < targetCount; ++index) {
        work[index / 3 % 3] += simulation.relativeWork(index) / (index / 3 % 3 == 2 ? 15 : 18);
    }
    std::printf("work by speed: 1.0 %.3f 0.6 %.3f 1.6 %.3f\n", work[0], work[1], work[2]);
    for (const double share : work) {
        EXPECT_NEAR(share, 1, 0.15);
    }
}

// Guards against a returned target that is flooded with long flows or gets none, and against one that seems idle since
// its new flows are not in its mean yet; failing targets must not be drawn.
TEST(TwoChoicesTest, ReturnedTargetsGetTheirPart)
{
    const TargetDirectory targets = directory();
    const auto share = [&targets](const LoadReport &returned) {
        Placement balancer = placement(true);
        for (int index = 1; index < targetCount; ++index) {
            balancer.onLoad(start, target(index).id, {0, 40, 20, 15'000});
        }
        balancer.onLoad(start, target(0).id, returned);
        int count = 0;
        for (quint32 number = 0; number < 4000; ++number) {
            count += balancer.order(start + 500ms, targets, service, flowNumber(number), 4).front() == target(0).id ? 1 : 0;
        }
        return count * 17 / 4000.0;
    };
    EXPECT_NEAR(share({0, 0, 0, 15'000}), 2, 0.3);
    EXPECT_LE(share({0, 0, 30, 15'000}), 0.2);
    EXPECT_EQ(share({0, 0, 0, 15'000, 400}), 0);
}

// Guards against another order while the switch is off, and against copies of an opening that draw other targets.
RC_GTEST_PROP(TwoChoicesTest, OffRanksByLoadAlone, ())
{
    const TargetDirectory targets = directory();
    Placement off = placement(false);
    Placement on = placement(true);
    on.onSettings({});
    std::vector<std::tuple<int, double, quint64, TargetId>> expected;
    const FlowKey key = flowNumber(*rc::gen::inRange(0, 1000));
    for (int index = 0; index < targetCount; ++index) {
        const TargetId id = target(index).id;
        const LoadReport load{
            static_cast<quint16>(*rc::gen::inRange(0, 9)), static_cast<quint16>(*rc::gen::inRange(0, 900)), 10, 15'000, 0, 0, *rc::gen::arbitrary<bool>()};
        const int offered = *rc::gen::inRange(0, 4);
        for (Placement *balancer : {&off, &on}) {
            balancer->onLoad(start, id, load);
            for (int count = 0; count < offered; ++count) {
                balancer->onOffered(start, id);
            }
        }
        const double inProgress = offered + std::max<double>(load.requestsInProgress, load.meanInProgressHundredths / 100.0);
        const double cost = 15'000 * 1e-6 * (1 + std::max(0.0, inProgress - 1) / 2 + inProgress / 2 / 4) + (index % 3 == 0 ? 0 : 0.004);
        expected.emplace_back(load.isClosed, cost, hashPair(key.hash(), static_cast<quint64>(id)), id);
    }
    std::ranges::sort(expected);
    const std::vector<TargetId> ordered = off.order(start + 100ms, targets, service, key, targetCount);
    RC_ASSERT(std::ranges::equal(ordered, expected, {}, {}, [](const auto &choice) { return std::get<TargetId>(choice); }));
    RC_ASSERT(on.order(start + 100ms, targets, service, key, targetCount) == ordered);
    on.onSettings({.usesTwoChoices = true});
    RC_ASSERT(on.order(start + 150ms, targets, service, key, 4) == on.order(start + 150ms, targets, service, key, 4));
}
