#include "streamtestdata.h"

#include <stream/loadmeter.h>
#include <stream/placement.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <random>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

constexpr int targetCount = 51;
constexpr double serviceSeconds = 0.015;

FlowKey flowNumber(quint32 number)
{
    return {{0x64400000 + number / 50'000, static_cast<quint16>(number % 50'000)}, route};
}

Placement placement(bool usesTwoChoices, int dataCentre = 0)
{
    return Placement({.dataCentre = QStringLiteral("dc%1").arg(dataCentre), .balancing = {.usesTwoChoices = usesTwoChoices}});
}

TargetDirectory directory()
{
    std::vector<StreamTarget> list;
    list.reserve(targetCount);
    for (int index = 0; index < targetCount; ++index) {
        list.push_back(target(index));
    }
    TargetDirectory directory({.agentPort = agentPort});
    for (const DirectoryChange &change : reading(list)) {
        directory.apply(start, change);
    }
    return directory;
}

/// 25 balancers that place requests on 51 targets with 2 slots and get load reports with answers and once a second.
struct Simulation
{
    struct Agent
    {
        LoadReport load(TimePoint time) const
        {
            LoadReport load = meter.report(time);
            load.flows = load.requestsInProgress;
            return load;
        }

        LoadMeter meter{2};
        double speed = 1;
        double served = 0;
    };

    Simulation(bool usesTwoChoices, double use, const std::vector<double> &speeds = {1})
    {
        double capacity = 0;
        for (int index = 0; index < targetCount; ++index) {
            Agent &agent = agents[target(index).id];
            // Each data centre (index % 3) has targets of all speeds.
            agent.speed = speeds[static_cast<std::size_t>(index / 3) % speeds.size()];
            capacity += agent.speed * 2 / serviceSeconds;
            at(index * 0.019, [this, index] { report(target(index).id); });
        }
        for (int index = 0; index < 25; ++index) {
            balancers.push_back(placement(usesTwoChoices, index % 3));
        }
        open(1 / (capacity * use));
        while (events.begin()->first < start + 6s) {
            now = events.begin()->first;
            events.extract(events.begin()).mapped()();
        }
        for (const auto &[id, agent] : agents) {
            const double relativeUse = agent.served / agent.speed * capacity * serviceSeconds / 2 / opened;
            const auto sameSpeed = std::ranges::count_if(agents, [speed = agent.speed](const auto &item) { return item.second.speed == speed; });
            useBySpeed[agent.speed] += relativeUse / static_cast<double>(sameSpeed);
            busiest = std::max(busiest, relativeUse);
        }
        busyShare /= opened;
    }

    void at(double delay, std::function<void()> event)
    {
        events.emplace(now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(delay)), std::move(event));
    }

    double randomDelay(double mean)
    {
        return std::exponential_distribution(1 / mean)(random);
    }

    void report(TargetId id)
    {
        for (Placement &balancer : balancers) {
            balancer.onLoad(now, id, agents[id].load(now));
        }
        at(1, [this, id] { report(id); });
    }

    void open(double interval)
    {
        Placement &balancer = balancers[random() % balancers.size()];
        const auto candidates = balancer.order(now, targets, service, flowNumber(static_cast<quint32>(++opened)), 4);
        balancer.onOffered(now, candidates.front());
        at(0.001, [this, &balancer, candidates] { offer(balancer, candidates, 0); });
        at(randomDelay(interval), [this, interval] { open(interval); });
    }

    void offer(Placement &balancer, const std::vector<TargetId> &candidates, std::size_t position)
    {
        const TargetId id = candidates[position];
        Agent &agent = agents[id];
        const bool isBusy = agent.meter.inProgress() >= 2;
        busyShare += isBusy && position == 0 ? 1 : 0;
        if (isBusy && position + 1 < candidates.size()) {
            at(0.001, [=, this, &balancer] { offer(balancer, candidates, position + 1); });
            return;
        }
        agent.meter.begin(now);
        agent.served += 1;
        at(0.001, [&balancer, this, id, load = agent.load(now)] { balancer.onLoad(now, id, load); });
        // The last candidate queues the opening.
        const int rounds = 1 + static_cast<int>(agent.meter.inProgress() - 1) / 2;
        at(randomDelay(serviceSeconds / agent.speed * rounds), [this, &agent] { agent.meter.answer(now); });
    }

    TimePoint now = start;
    TargetDirectory targets = directory();
    std::mt19937 random{1};
    std::multimap<TimePoint, std::function<void()>> events;
    std::map<TargetId, Agent> agents;
    std::vector<Placement> balancers;
    double opened = 0;
    /// Share of the openings whose first target had no free slot.
    double busyShare = 0;
    /// Use of the busiest target over the mean.
    double busiest = 0;
    /// Mean use of the targets of a speed over the mean.
    std::map<double, double> useBySpeed;
};

}

// Guards against balancers that all send their openings to the target that last seemed idle.
TEST(TwoChoicesTest, FewOpeningsMeetBusySlots)
{
    for (const double use : {0.2, 0.4, 0.6}) {
        const Simulation before(false, use);
        const Simulation after(true, use);
        EXPECT_LE(after.busyShare, before.busyShare / 2) << use;
        EXPECT_LE(after.busiest, before.busiest) << use;
    }
}

// Guards against slow targets that get as many flows as fast ones, and fast ones that get nearly all.
TEST(TwoChoicesTest, UnequalSpeedsGetLoadInProportion)
{
    for (const double use : {0.2, 0.6}) {
        Simulation simulation(true, use, {1.0, 0.6, 1.6});
        EXPECT_NEAR(simulation.useBySpeed[0.6] / simulation.useBySpeed[1.0], 1, 0.15) << use;
        EXPECT_NEAR(simulation.useBySpeed[1.6] / simulation.useBySpeed[1.0], 1, 0.15) << use;
    }
}

// Guards against a returned target that is flooded with long flows or gets none, against one that seems idle since its
// new flows are not in its mean yet, and against a failing one that is drawn.
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
RC_GTEST_PROP(TwoChoicesTest, OffRanksByLoadAlone, (quint32 number))
{
    const TargetDirectory targets = directory();
    Placement balancer = placement(true);
    const FlowKey key = flowNumber(number);
    std::vector<std::tuple<bool, bool, double, quint64, TargetId>> expected;
    for (int index = 0; index < targetCount; ++index) {
        const TargetId id = target(index).id;
        const auto count = *rc::gen::inRange<quint16>(0, 9);
        const LoadReport load{count, *rc::gen::inRange<quint16>(0, 900), count, 15'000, 0, 0, *rc::gen::arbitrary<bool>()};
        const int offered = *rc::gen::inRange(0, 4);
        const bool isSuspected = *rc::gen::inRange(0, 4) == 0;
        balancer.onLoad(start, id, load);
        for (int offer = 0; offer < offered; ++offer) {
            balancer.onOffered(start, id);
        }
        if (isSuspected) {
            balancer.onUnanswered(start, id);
        }
        const double inProgress = offered + std::max<double>(load.requestsInProgress, load.meanInProgressHundredths / 100.0);
        const double cost = 15'000 * 1e-6 * (1 + std::max(0.0, inProgress - 1) / 2 + inProgress / 2 / 4) + (index % 3 == 0 ? 0 : 0.004);
        expected.emplace_back(isSuspected, !isSuspected && load.isClosed, cost, hashPair(key.hash(), static_cast<quint64>(id)), id);
    }
    std::ranges::sort(expected);
    const auto order = [&](Duration age) {
        return balancer.order(start + age, targets, service, key, targetCount);
    };
    const std::vector<TargetId> drawn = order(100ms);
    RC_ASSERT(order(100ms) == drawn);
    balancer.onSettings({});
    RC_ASSERT(std::ranges::equal(order(100ms), expected, {}, {}, [](const auto &choice) { return std::get<TargetId>(choice); }));
}
