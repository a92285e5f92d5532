#include "agentbench.h"

#include <agent/agentcontext.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace Rattanpick;

namespace
{

constexpr quint64 nonce = 4711;

/// Index of the first candidate of the flow under the configuration.
int homeAgentIndex(const ConfigurationPointer &configuration, const FlowKey &key)
{
    const TargetId homeAgent = CandidateTable(*configuration, AgentBench::service().id).candidatesOf(key)[0].target;
    for (int index = 0; index < 32; ++index) {
        if (AgentBench::target(index).id == homeAgent) {
            return index;
        }
    }
    return -1;
}

/// A flow whose first candidate differs between the two configurations.
FlowKey flowThatMoves(const ConfigurationPointer &before, const ConfigurationPointer &after)
{
    for (quint16 port = 1000; port < 20000; ++port) {
        const FlowKey key = AgentBench::flow(port);
        if (homeAgentIndex(before, key) != homeAgentIndex(after, key)) {
            return key;
        }
    }
    return {};
}

}

// Guards against an opening that is lost or accepted by more than one target.
TEST(TargetAgentTest, OpensAFlowAtOneTarget)
{
    AgentBench bench(5);
    const ConfigurationPointer configuration = bench.configuration(1);
    for (quint16 port = 1; port <= 200; ++port) {
        bench.send(configuration, AgentBench::flow(port), Open{nonce});
        bench.send(configuration, AgentBench::flow(port), Open{nonce});
        EXPECT_EQ(bench.holders(AgentBench::flow(port), nonce).size(), 1U);
        const auto opened = bench.received<Opened>(AgentBench::flow(port));
        ASSERT_EQ(opened.size(), 2U);
        EXPECT_EQ(opened[0], opened[1]);
    }
}

// Guards against two targets that accept the same opening, repeated through balancers with different tables.
TEST(TargetAgentTest, RepeatedOpeningUnderTwoVersionsHasOneOwner)
{
    AgentBench bench(5);
    const ConfigurationPointer before = bench.configuration(1);
    bench.targets().push_back(AgentBench::target(5));
    const ConfigurationPointer after = bench.configuration(2);
    bench.start(5);
    // The new target's agent and the others have version 2, but not the earlier home agent.
    const FlowKey key = flowThatMoves(before, after);
    ASSERT_EQ(homeAgentIndex(after, key), 5);
    for (int index = 0; index <= 5; ++index) {
        if (index != homeAgentIndex(before, key)) {
            bench.apply(index, after);
        }
    }
    bench.advance(1500ms);

    bench.send(before, key, Open{nonce});
    bench.send(after, key, Open{nonce});
    bench.send(before, key, Open{nonce});
    EXPECT_EQ(bench.holders(key, nonce).size(), 1U);

    // Reversed order: the opening reaches the new home agent first.
    const FlowKey second = [&] {
        for (quint16 port = 20000; port < 60000; ++port) {
            const FlowKey candidate = AgentBench::flow(port);
            if (homeAgentIndex(after, candidate) == 5 && homeAgentIndex(before, candidate) == homeAgentIndex(before, key)) {
                return candidate;
            }
        }
        return FlowKey{};
    }();
    bench.send(after, second, Open{nonce});
    bench.send(before, second, Open{nonce});
    EXPECT_EQ(bench.holders(second, nonce).size(), 1U);
}

// Guards against two owners when an agent has skipped a version and therefore does not query its home agent.
TEST(TargetAgentTest, RepeatedOpeningUnderASkippedVersionHasOneOwner)
{
    AgentBench bench(5);
    const ConfigurationPointer first = bench.configuration(1);
    bench.targets()[0].isDraining = true;
    const ConfigurationPointer second = bench.configuration(2);
    bench.targets()[0].isDraining = false;
    bench.targets()[1].isDraining = true;
    const ConfigurationPointer third = bench.configuration(3);
    int checked = 0;
    for (quint16 port = 1; port < 2000 && checked < 20; ++port) {
        const FlowKey key = AgentBench::flow(port);
        const int homeAgentOfSecond = homeAgentIndex(second, key);
        const int homeAgentOfThird = homeAgentIndex(third, key);
        if (homeAgentOfSecond == homeAgentOfThird || homeAgentOfSecond == homeAgentIndex(first, key)) {
            continue;
        }
        ++checked;
        AgentBench run(5);
        run.apply(homeAgentOfSecond, second);
        run.apply(homeAgentOfThird, third);
        run.send(second, key, Open{nonce});
        run.send(third, key, Open{nonce});
        run.advance(200ms);
        run.send(third, key, Open{nonce});
        EXPECT_EQ(run.holders(key, nonce).size(), 1U) << "port " << port;
    }
    EXPECT_GT(checked, 0);
}

// Guards against flows that break when targets are added and drained in several consecutive versions.
TEST(TargetAgentTest, FlowsSurviveSeveralChangesInARow)
{
    AgentBench bench(4);
    ConfigurationPointer configuration = bench.configuration(1);
    for (quint16 port = 1; port <= 300; ++port) {
        bench.send(configuration, AgentBench::flow(port), Open{nonce});
    }
    std::map<quint16, std::vector<int>> owners;
    for (quint16 port = 1; port <= 300; ++port) {
        owners[port] = bench.holders(AgentBench::flow(port), nonce);
        ASSERT_EQ(owners[port].size(), 1U);
    }
    for (int step = 0; step < 6; ++step) {
        if (step < 3) {
            bench.targets().push_back(AgentBench::target(4 + step));
            bench.start(4 + step);
        } else {
            bench.targets()[static_cast<std::size_t>(step - 3)].isDraining = true;
        }
        configuration = bench.configuration(static_cast<quint64>(step) + 2);
        bench.applyAll(configuration);
        bench.advance(500ms);
    }
    bench.toTargets.clear();
    for (quint16 port = 1; port <= 300; ++port) {
        bench.send(configuration, AgentBench::flow(port), Data{nonce, 1, "x"});
        EXPECT_TRUE(bench.received<Reset>(AgentBench::flow(port)).empty());
        const bool isDelivered = std::ranges::any_of(bench.toTargets, [&](const auto &sent) {
            const auto *data = std::get_if<TargetData>(&sent.second);
            return data && data->flow == AgentBench::flow(port) && sent.first == owners[port][0];
        });
        EXPECT_TRUE(isDelivered) << "port " << port;
    }
}

// Guards against flows that are lost when the agent process of a target is replaced and has no state.
TEST(TargetAgentTest, ReplacedAgentRecoversFlowsFromItsTarget)
{
    AgentBench bench(4);
    const ConfigurationPointer configuration = bench.configuration(1);
    for (quint16 port = 1; port <= 100; ++port) {
        bench.send(configuration, AgentBench::flow(port), Open{nonce});
        bench.send(configuration, AgentBench::flow(port), Data{nonce, 1, "x"});
    }
    for (int index = 0; index < 4; ++index) {
        bench.kill(index);
        bench.advance(300ms);
        bench.start(index);
        bench.apply(index, configuration);
        bench.advance(1s);
    }
    for (quint16 port = 1; port <= 100; ++port) {
        const FlowKey key = AgentBench::flow(port);
        const Incarnation before = bench.received<Opened>(key).at(0).flowIncarnation;
        bench.send(configuration, key, KeepAlive{nonce});
        bench.advance(10ms);
        EXPECT_TRUE(bench.received<Reset>(key).empty());
        ASSERT_FALSE(bench.received<Rebound>(key).empty()) << "port " << port;
        EXPECT_NE(bench.received<Rebound>(key).back().flowIncarnation, before);
        EXPECT_EQ(bench.holders(key, nonce).size(), 1U);
    }
}

// Guards against a delayed opening that opens a flow again after it was closed.
TEST(TargetAgentTest, LateOpeningDoesNotReopenAClosedFlow)
{
    AgentBench bench(4);
    const ConfigurationPointer configuration = bench.configuration(1);
    for (quint16 port = 1; port <= 50; ++port) {
        const FlowKey key = AgentBench::flow(port);
        bench.send(configuration, key, Open{nonce});
        bench.send(configuration, key, Close{nonce});
        EXPECT_EQ(bench.received<Closed>(key).size(), 1U);
        bench.send(configuration, key, Open{nonce});
        EXPECT_TRUE(bench.holders(key, nonce).empty()) << "port " << port;
    }
}

// Guards against a withdrawn candidate whose release removes the actual owner of the flow from the directory.
TEST(TargetAgentTest, ReleaseOfAWithdrawnCandidateEndsNothing)
{
    AgentBench bench(3);
    const ConfigurationPointer configuration = bench.configuration(1);
    const FlowKey key = AgentBench::flow(1);
    bench.send(configuration, key, Open{nonce});
    const std::vector<int> owners = bench.holders(key, nonce);
    ASSERT_EQ(owners.size(), 1U);
    for (int index = 0; index < 3; ++index) {
        if (index == owners[0]) {
            continue;
        }
        PeerMessage message;
        message.header.version = configuration->version();
        message.header.service = AgentBench::service().id;
        message.header.destination = AgentBench::target(owners[0]).id;
        message.header.sender = AgentBench::target(index).id;
        message.header.senderEndpoint = AgentBench::target(index).agent;
        message.header.senderIncarnation = Incarnation{static_cast<quint64>(index) + 1};
        message.body = Release{key, nonce};
        AgentActions actions;
        bench.agent(owners[0]).onPeerMessage(bench.now(), message, actions);
    }
    bench.send(configuration, key, KeepAlive{nonce});
    EXPECT_EQ(bench.received<Rebound>(key).size(), 1U);
    bench.send(configuration, key, Close{nonce});
    EXPECT_EQ(bench.received<Closed>(key).size(), 1U);
}

// Guards against a delayed offer, handled after its withdrawal, that replaces the actual owner at the home agent.
TEST(TargetAgentTest, LateOfferDoesNotTakeOverTheFlow)
{
    AgentBench bench(3);
    const ConfigurationPointer configuration = bench.configuration(1);
    for (quint16 port = 1; port <= 30; ++port) {
        const FlowKey key = AgentBench::flow(port);
        const int homeAgent = homeAgentIndex(configuration, key);
        bench.send(configuration, key, Open{nonce});
        const int owner = bench.holders(key, nonce).at(0);
        PeerMessage offer;
        offer.header.version = configuration->version();
        offer.header.service = AgentBench::service().id;
        offer.header.sender = AgentBench::target(homeAgent).id;
        offer.header.senderEndpoint = AgentBench::target(homeAgent).agent;
        offer.header.senderIncarnation = Incarnation{static_cast<quint64>(homeAgent) + 1};
        offer.body = Offer{key, nonce};
        for (int index = 0; index < 3; ++index) {
            if (index == homeAgent || index == owner) {
                continue;
            }
            offer.header.destination = AgentBench::target(index).id;
            bench.inject(index, offer);
        }
        bench.advance(500ms);
        bench.toTargets.clear();
        bench.send(configuration, key, Data{nonce, 1, "x"});
        const bool isAtOwner =
            std::ranges::any_of(bench.toTargets, [&](const auto &sent) { return sent.first == owner && std::holds_alternative<TargetData>(sent.second); });
        EXPECT_TRUE(isAtOwner) << "port " << port;
        EXPECT_EQ(bench.holders(key, nonce), std::vector<int>{owner}) << "port " << port;
    }
}

// Guards against a packet that reaches a target of another service on a reused address.
TEST(TargetAgentTest, RefusesPacketsForAnotherServiceOrTarget)
{
    AgentBench bench(2);
    PeerMessage message;
    message.header.version = bench.configuration(1)->version();
    message.header.service = serviceIdOf("other");
    message.header.destination = AgentBench::target(0).id;
    message.body = Forward{HopList{}, AgentBench::flow(1), encodeCallerMessage(Open{nonce})};
    AgentActions actions;
    bench.agent(0).onPeerMessage(bench.now(), message, actions);
    EXPECT_EQ(actions, AgentActions{CountDrop{DropReason::UnknownService}});

    message.header.service = AgentBench::service().id;
    message.header.destination = AgentBench::target(1).id;
    actions.clear();
    bench.agent(0).onPeerMessage(bench.now(), message, actions);
    EXPECT_EQ(actions, AgentActions{CountDrop{DropReason::UnknownDestination}});
}

// Guards against work for a target whose data centre is out, and against flows that end without a reset to the caller.
TEST(TargetAgentTest, FencesADataCentreThatIsOut)
{
    AgentBench bench(6);
    const ConfigurationPointer before = bench.configuration(1);
    for (quint16 port = 1; port <= 60; ++port) {
        bench.send(before, AgentBench::flow(port), Open{nonce});
    }
    const ConfigurationPointer after = bench.configuration(2, QStringLiteral("dc0"));
    bench.applyAll(after);
    bench.advance(100ms);
    bench.toTargets.clear();
    for (quint16 port = 1; port <= 60; ++port) {
        // A balancer that was paused still uses the earlier table.
        bench.send(before, AgentBench::flow(port), Data{nonce, 1, "x"});
        bench.send(before, AgentBench::flow(static_cast<quint16>(port + 1000)), Open{nonce});
    }
    for (const auto &[index, command] : bench.toTargets) {
        EXPECT_NE(index % 3, 0);
    }
    for (quint16 port = 1; port <= 60; ++port) {
        const FlowKey key = AgentBench::flow(port);
        const bool isHeld = !bench.holders(key, nonce).empty();
        EXPECT_NE(isHeld, !bench.received<Reset>(key).empty()) << "port " << port;
    }
}

// Guards against new flows at a draining target, and against breaking its open flows.
TEST(TargetAgentTest, DrainingTargetKeepsFlowsAndTakesNone)
{
    AgentBench bench(3);
    const ConfigurationPointer before = bench.configuration(1);
    for (quint16 port = 1; port <= 60; ++port) {
        bench.send(before, AgentBench::flow(port), Open{nonce});
    }
    bench.targets()[0].isDraining = true;
    const ConfigurationPointer after = bench.configuration(2);
    bench.applyAll(after);
    bench.advance(100ms);
    for (quint16 port = 101; port <= 200; ++port) {
        bench.send(port % 2 ? before : after, AgentBench::flow(port), Open{nonce});
    }
    bench.advance(200ms);
    for (quint16 port = 101; port <= 200; ++port) {
        const std::vector<int> holders = bench.holders(AgentBench::flow(port), nonce);
        ASSERT_EQ(holders.size(), 1U) << "port " << port;
        EXPECT_NE(holders[0], 0);
    }
    for (quint16 port = 1; port <= 60; ++port) {
        bench.send(after, AgentBench::flow(port), KeepAlive{nonce});
        EXPECT_FALSE(bench.received<Rebound>(AgentBench::flow(port)).empty()) << "port " << port;
    }
}

// Guards against new flows that fail for longer than the detection time after the home agent's process has failed.
TEST(TargetAgentTest, SecondCandidateActsForAFailedHomeAgent)
{
    AgentBench bench(5);
    const ConfigurationPointer configuration = bench.configuration(1);
    for (quint16 port = 1; port <= 200; ++port) {
        bench.send(configuration, AgentBench::flow(port), Open{nonce});
        bench.send(configuration, AgentBench::flow(port), Data{nonce, 1, "x"});
    }
    bench.kill(0);
    bench.advance(2500ms);
    bench.suspectedByBalancers.insert(AgentBench::target(0).id);
    for (quint16 port = 1; port <= 200; ++port) {
        const FlowKey key = AgentBench::flow(port);
        const bool isLost = bench.holders(key, nonce) == std::vector<int>{0};
        bench.send(configuration, key, KeepAlive{nonce});
        EXPECT_NE(isLost, !bench.received<Rebound>(key).empty()) << "port " << port;
        const FlowKey fresh = AgentBench::flow(static_cast<quint16>(port + 1000));
        bench.send(configuration, fresh, Open{nonce});
        bench.advance(60ms);
        EXPECT_EQ(bench.received<Opened>(fresh).size(), 1U) << "port " << port;
    }
}

// Guards against an isolated agent whose reports make all agents suspect each other.
TEST(TargetAgentTest, ReportOfASingleWatcherIsNotConfirmed)
{
    AgentBench bench(5);
    const Endpoint cutOff = AgentBench::target(2).agent;
    // Agent 2 can send but not receive.
    bench.passes = [cutOff](const SendToPeer &sent) {
        return sent.to != cutOff;
    };
    bench.advance(4s);
    for (const RecordEvent &event : bench.events) {
        const bool isAboutOthers = event.number == EventNumber::PeerSuspected && !event.detail.contains(cutOff.toString());
        EXPECT_FALSE(isAboutOthers && !event.detail.contains(QStringLiteral("missed"))) << event.detail.toStdString();
    }
    const ConfigurationPointer configuration = bench.configuration(1);
    for (quint16 port = 1; port <= 100; ++port) {
        if (homeAgentIndex(configuration, AgentBench::flow(port)) == 2) {
            continue;
        }
        bench.send(configuration, AgentBench::flow(port), Open{nonce});
        // Time for an offer to the isolated agent to expire and for the next candidate to accept.
        bench.advance(150ms);
        EXPECT_EQ(bench.received<Opened>(AgentBench::flow(port)).size(), 1U) << "port " << port;
    }
}

// Guards against flows that stay open after their target was replaced, and against late replies of the earlier process.
TEST(TargetAgentTest, ReplacedTargetBreaksItsFlowsOnce)
{
    AgentBench bench(2);
    const ConfigurationPointer configuration = bench.configuration(1);
    for (quint16 port = 1; port <= 40; ++port) {
        bench.send(configuration, AgentBench::flow(port), Open{nonce});
    }
    std::vector<quint16> lost;
    for (quint16 port = 1; port <= 40; ++port) {
        if (bench.holders(AgentBench::flow(port), nonce) == std::vector<int>{0}) {
            lost.push_back(port);
        }
    }
    ASSERT_FALSE(lost.empty());
    bench.replaceTarget(0);
    bench.advance(600ms);
    AgentActions actions;
    bench.agent(0).onTargetReply(bench.now(), TargetReply{Incarnation{1000}, TargetStatus{}}, actions);
    EXPECT_TRUE(actions.empty());
    for (quint16 port = 1; port <= 40; ++port) {
        const bool isLost = std::ranges::find(lost, port) != lost.end();
        EXPECT_EQ(bench.received<Reset>(AgentBench::flow(port)).size(), isLost ? 1U : 0U);
    }
}

// Guards against a restarted home agent that resets open flows because its directory is empty.
TEST(TargetAgentTest, RestartedHomeAgentLearnsTheFlowsOfItsBuckets)
{
    AgentBench bench(4);
    const ConfigurationPointer before = bench.configuration(1);
    for (quint16 port = 1; port <= 200; ++port) {
        bench.send(before, AgentBench::flow(port), Open{nonce});
    }
    // Draining target 0 moves the home agents of its flows to other agents.
    bench.targets()[0].isDraining = true;
    const ConfigurationPointer after = bench.configuration(2);
    bench.applyAll(after);
    bench.advance(500ms);
    for (int index = 1; index < 4; ++index) {
        bench.kill(index);
        bench.start(index);
        bench.apply(index, after);
        bench.advance(500ms);
    }
    for (quint16 port = 1; port <= 200; ++port) {
        const FlowKey key = AgentBench::flow(port);
        bench.send(after, key, KeepAlive{nonce});
        EXPECT_TRUE(bench.received<Reset>(key).empty());
        EXPECT_FALSE(bench.received<Rebound>(key).empty()) << "port " << port;
    }
}

// Guards against two owners of a flow when messages between agents are lost and agents have different versions.
RC_GTEST_PROP(TargetAgentTest, OneOwnerUnderLossAndUnevenChanges, ())
{
    AgentBench bench(5);
    const int lossPercent = *rc::gen::inRange(0, 40);
    std::mt19937_64 random(*rc::gen::arbitrary<quint64>());
    bench.passes = [&](const SendToPeer &) {
        return static_cast<int>(random() % 100) >= lossPercent;
    };
    std::vector<ConfigurationPointer> versions{bench.configuration(1)};
    std::map<int, std::size_t> inForce;
    const int steps = *rc::gen::inRange(5, 25);
    for (int step = 0; step < steps; ++step) {
        const auto choice = *rc::gen::inRange(0, 4);
        if (choice == 0) {
            Target &target = bench.targets()[random() % bench.targets().size()];
            target.isDraining = !target.isDraining;
            target.weight = static_cast<quint32>(1 + random() % 200);
            versions.push_back(bench.configuration(versions.size() + 1));
        } else if (choice == 1) {
            const int index = static_cast<int>(random() % 5);
            if (inForce[index] + 1 < versions.size()) {
                inForce[index] = versions.size() - 1;
                bench.apply(index, versions.back());
            }
        } else {
            const FlowKey key = AgentBench::flow(static_cast<quint16>(1 + random() % 8));
            bench.send(versions[random() % versions.size()], key, Open{nonce});
        }
        bench.advance(std::chrono::milliseconds(10 * (random() % 15)));
    }
    for (quint16 port = 1; port <= 8; ++port) {
        const FlowKey key = AgentBench::flow(port);
        std::set<Incarnation> named;
        for (const Opened &opened : bench.received<Opened>(key)) {
            named.insert(opened.flowIncarnation);
        }
        RC_ASSERT(named.size() <= 1U);
    }
}

// Guards against handing over a request to a newly started agent, which would have to report an unknown outcome.
TEST(TargetAgentTest, RetriesGoToSettledAgentsOnly)
{
    for (const quint8 flags : {quint8{0}, TunnelHeader::recoveryFlag}) {
        TargetAgentSettings settings;
        settings.target = AgentBench::target(0).id;
        settings.service = AgentBench::service().id;
        settings.incarnation = Incarnation{1};
        AgentContext context(settings);
        const AgentBench bench(2);
        context.tables().applyConfiguration(bench.configuration(1));
        TunnelHeader header;
        header.sender = AgentBench::target(1).id;
        header.senderIncarnation = Incarnation{2};
        header.flags = flags;
        context.peers().onMessage(bench.now(), header);
        const bool isChosen = context.retryCandidate(bench.now(), AgentBench::flow(1)).target == AgentBench::target(1).id;
        EXPECT_EQ(isChosen, flags == 0);
    }
}
