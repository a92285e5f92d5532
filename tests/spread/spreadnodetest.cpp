#include <proof/spread/spreadfleet.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace Rattanpick;
using Proof::SpreadFleet;
using Proof::SpreadFleetSettings;

namespace
{

constexpr Duration spreadLimit = 4s;

/// A fleet that has a document with the number 1 in force everywhere.
struct RunningFleet : SpreadFleet
{
    explicit RunningFleet(const SpreadFleetSettings &settings)
        : SpreadFleet(settings)
    {
        const QByteArray text = makeDocument(1);
        setDocument(text);
        startAll();
        EXPECT_TRUE(runUntil([&] { return isInForceEverywhere(text) && areAllReady(); }, 60s));
        run(5s);
        resetMeasures();
    }

    std::optional<Duration> runUntilInForce(const QByteArray &text, Duration limit = spreadLimit)
    {
        return runUntil([&] { return isInForceEverywhere(text); }, limit);
    }
};

SpreadFleetSettings baseline()
{
    SpreadFleetSettings settings;
    settings.strategy.reads = everyNodeReads;
    settings.strategy.usesPeers = false;
    return settings;
}

}

// Guards against a change that takes longer than 4 s, with messages lost and nodes paused.
TEST(SpreadNodeTest, ChangeIsInForceWithinFourSeconds)
{
    for (const double loss : {0.0, 0.05, 0.2}) {
        RunningFleet fleet({.nodes = 280});
        fleet.setLoss(loss);
        fleet.pause(0.05, 10s);
        const QByteArray text = SpreadFleet::makeDocument(2);
        fleet.setDocument(text);
        EXPECT_TRUE(fleet.runUntilInForce(text)) << loss;
        fleet.run(20s);
        EXPECT_TRUE(fleet.isInForceEverywhere(text)) << "paused nodes never received the change";
    }
}

// Guards against a joining node that treats a stale platform's document as the latest.
TEST(SpreadNodeTest, NoRevertWhenANodeJoinsWhileThePlatformIsStale)
{
    RunningFleet fleet({.nodes = 60});
    const QByteArray text = SpreadFleet::makeDocument(5);
    fleet.setDocument(text);
    ASSERT_TRUE(fleet.runUntilInForce(text));
    fleet.setDocument(SpreadFleet::makeDocument(1));
    for (int node = 0; node < 60; node += 7) {
        fleet.start(node);
    }
    bool wasReadyWithOld = false;
    const auto areAllReady = [&] {
        for (int node = 0; node < 60; node += 7) {
            wasReadyWithOld = wasReadyWithOld || (fleet.node(node).isReady(fleet.now()) && fleet.node(node).configuration()->version().number < 5);
        }
        return fleet.areAllReady();
    };
    ASSERT_TRUE(fleet.runUntil(areAllReady, 60s));
    EXPECT_FALSE(wasReadyWithOld);
    EXPECT_TRUE(fleet.isInForceEverywhere(text));
    EXPECT_EQ(fleet.measures().reverts, 0U);
}

// Guards against a joining node that serves a stale platform's document before it has compared versions with peers.
TEST(SpreadNodeTest, JoiningNodeWaitsForTwoPeers)
{
    const TimePoint start{1h};
    const SpreadStrategy strategy{.parser = SpreadFleet::parse};
    const SpreadNodeSettings settings{.name = QStringLiteral("a"), .dataCentre = QStringLiteral("d")};
    InstanceList instances;
    for (quint32 index = 0; index < 3; ++index) {
        instances.append({QString(QChar(u'a' + index)), InstanceRole::Agent, settings.dataCentre, {index, 1}, {index, 2}, {}, false});
    }
    const auto startNode = [&](SpreadNode &node, SpreadActions &actions) {
        node.onInstanceList(start, instances, actions, 1);
        node.onPlatformDocument(start, 1, SpreadFleet::makeDocument(1), actions);
        node.onTick(start, actions);
    };
    const ConfigurationVersion version = SpreadFleet::parse(SpreadFleet::makeDocument(1)).configuration->version();
    SpreadActions actions;

    SpreadNode node(settings, strategy, start);
    startNode(node, actions);
    EXPECT_FALSE(node.isReady(start));
    node.onPeerVersion(start, {1, 1}, version, VersionNotice{{1, 2}, false}, actions);
    node.onPeerVersion(start, {1, 1}, version, VersionNotice{{1, 2}, false}, actions);
    EXPECT_FALSE(node.isReady(start)) << "one peer twice";
    node.onPeerVersion(start, {2, 1}, {9, 9}, VersionNotice{{2, 2}, false}, actions);
    EXPECT_FALSE(node.isReady(start)) << "a peer has a later version that is not in force here";
    node.onPeerVersion(start, {2, 1}, version, VersionNotice{{2, 2}, false}, actions);
    EXPECT_TRUE(node.isReady(start));

    // A node that no peer answers must still start to serve after the limit, and one without peers at once.
    SpreadNode isolated(settings, strategy, start);
    startNode(isolated, actions);
    for (Duration passed = 100ms; passed <= 2s; passed += 100ms) {
        EXPECT_FALSE(isolated.isReady(start + passed - 100ms));
        isolated.onTick(start + passed, actions);
    }
    EXPECT_TRUE(isolated.isReady(start + 2s));
    instances = {instances[0]};
    SpreadNode only(settings, strategy, start);
    startNode(only, actions);
    EXPECT_TRUE(only.isReady(start));
}

// The baseline shows which failure the rule prevents: without it the stale platform reverts every node.
TEST(SpreadNodeTest, AcceptAnyBaselineReverts)
{
    SpreadFleetSettings settings = baseline();
    settings.nodes = 12;
    settings.strategy.accepts = acceptsAnyVersion;
    SpreadFleet fleet(settings);
    fleet.setDocument(SpreadFleet::makeDocument(2));
    fleet.startAll();
    fleet.run(2s);
    fleet.setDocument(SpreadFleet::makeDocument(1));
    fleet.run(2s);
    EXPECT_EQ(fleet.measures().reverts, 12U);
}

// Guards against nodes that permanently keep different documents with the same number.
TEST(SpreadNodeTest, TwoDocumentsWithOneNumberConverge)
{
    for (quint64 seed = 1; seed <= 10; ++seed) {
        RunningFleet fleet({.nodes = 60, .seed = seed});
        const bool isSwapped = seed % 2 == 0;
        fleet.setDocument(0, SpreadFleet::makeDocument(2, isSwapped ? "b" : "a"));
        fleet.setDocument(1, SpreadFleet::makeDocument(2, isSwapped ? "a" : "b"));
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.isConverged() && !fleet.isInForceEverywhere(SpreadFleet::makeDocument(1)); }, spreadLimit)) << seed;
        EXPECT_EQ(fleet.measures().reverts, 0U);
    }
}

// Guards against a data centre that receives no updates once its readers are gone and the list still names them.
TEST(SpreadNodeTest, LossOfAllReadersOfADataCentre)
{
    RunningFleet fleet({.nodes = 60});
    fleet.stopReaders(0);
    const QByteArray text = SpreadFleet::makeDocument(2);
    fleet.setDocument(text);
    EXPECT_TRUE(fleet.runUntilInForce(text));
}

// Guards against nodes that cannot continue or join during a platform outage, or miss a change after it.
TEST(SpreadNodeTest, PlatformAwayForHours)
{
    RunningFleet fleet({.nodes = 30, .tickInterval = 500ms});
    for (int region = 0; region < SpreadFleet::regionCount; ++region) {
        fleet.setPlatformAnswers(region, false);
    }
    fleet.run(3h);
    EXPECT_TRUE(fleet.isInForceEverywhere(SpreadFleet::makeDocument(1)));
    // Each reader retries each of the two subjects after 15 s on average.
    EXPECT_LT(fleet.measures().platformCalls, 18U * 2U * 3U * 3600U / 10U);
    fleet.start(4);
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.areAllReady(); }, 10s)) << "a node cannot join without the platform";
    const QByteArray text = SpreadFleet::makeDocument(2);
    fleet.setDocument(text);
    for (int region = 0; region < SpreadFleet::regionCount; ++region) {
        fleet.setPlatformAnswers(region, true);
    }
    EXPECT_TRUE(fleet.runUntilInForce(text, 34s)) << "the back-off limit of 30 s and the time to spread";
}

// Guards against regions that keep different versions after a network partition has healed.
TEST(SpreadNodeTest, RegionsApartWhileEachGetsChanges)
{
    RunningFleet fleet({.nodes = 60});
    fleet.setRegionsConnected(false);
    for (quint64 change = 1; change <= 10; ++change) {
        fleet.setDocument(0, SpreadFleet::makeDocument(2 * change));
        fleet.setDocument(1, SpreadFleet::makeDocument(2 * change + 1));
        fleet.run(30s);
    }
    EXPECT_FALSE(fleet.isConverged());
    fleet.setRegionsConnected(true);
    EXPECT_TRUE(fleet.runUntilInForce(SpreadFleet::makeDocument(21)));
    EXPECT_EQ(fleet.measures().reverts, 0U);
}

// Guards against overloading the platform when all processes start at once and when it answers again after an outage.
TEST(SpreadNodeTest, NoStampedeAtMassRestartAndReturn)
{
    SpreadFleet fleet({.nodes = 5000});
    const QByteArray text = SpreadFleet::makeDocument(1);
    fleet.setDocument(text);
    for (int region = 0; region < SpreadFleet::regionCount; ++region) {
        fleet.setPlatformAnswers(region, false);
    }
    fleet.startAll();
    fleet.run(30s);
    for (int region = 0; region < SpreadFleet::regionCount; ++region) {
        fleet.setPlatformAnswers(region, true);
    }
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.isInForceEverywhere(text); }, 10s));
    // Scaled from the limit of 2,000 calls a second for 21,800 processes.
    EXPECT_LT(fleet.measures().platformCallsPeak, 2000U * 5000U / 21800U);
}

// The baseline shows which load elected readers prevent: as many pending calls as nodes.
TEST(SpreadNodeTest, EveryNodeReadsBaselineOverloadsThePlatform)
{
    SpreadFleetSettings settings = baseline();
    settings.nodes = 5000;
    SpreadFleet fleet(settings);
    fleet.setDocument(SpreadFleet::makeDocument(1));
    fleet.startAll();
    fleet.run(2s);
    EXPECT_GT(fleet.measures().platformCallsPeak, 2000U);
}

// Guards against a node that stops pulling, or keeps asking the same peer, when pulls fail.
TEST(SpreadNodeTest, FailedPullsAreRetriedElsewhere)
{
    RunningFleet fleet({.nodes = 60});
    fleet.setAnswerFilter([](int server, const QByteArray &answer) { return server % 2 == 0 ? std::nullopt : std::optional(answer); });
    const QByteArray text = SpreadFleet::makeDocument(2);
    fleet.setDocument(text);
    EXPECT_TRUE(fleet.runUntilInForce(text));
}

// Guards against a damaged delta that is accepted as the document or stops its distribution.
TEST(SpreadNodeTest, DamagedDeltaFallsBackToTheWhole)
{
    RunningFleet fleet({.nodes = 60});
    int wholes = 0;
    fleet.setAnswerFilter([&wholes](int, const QByteArray &answer) {
        PeerAnswer decoded = *PeerAnswer::fromBytes(answer);
        if (decoded.kind == PeerAnswerKind::Delta) {
            decoded.body[decoded.body.size() / 2] = static_cast<char>(~decoded.body[decoded.body.size() / 2]);
        }
        wholes += decoded.kind == PeerAnswerKind::Whole ? 1 : 0;
        return decoded.toBytes();
    });
    const QByteArray text = SpreadFleet::makeDocument(2);
    fleet.setDocument(text);
    EXPECT_TRUE(fleet.runUntilInForce(text));
    EXPECT_GE(wholes, 40);
}

// Guards against a document over a megabyte, which the platform stores only in parts, not being distributed.
TEST(SpreadNodeTest, SpreadsALargeDocument)
{
    RunningFleet fleet({.nodes = 30});
    QByteArray text = SpreadFleet::makeDocument(2);
    for (int index = 0; index < 40'000; ++index) {
        text += "[target large-" + QByteArray::number(index) + "]\nweight = 100\n";
    }
    ASSERT_GT(text.size(), 1'000'000);
    fleet.setDocument(text);
    EXPECT_TRUE(fleet.runUntilInForce(text));
}

// Guards against a node that serves outdated state after a pause.
TEST(SpreadNodeTest, NotReadyAfterAPauseUntilCompared)
{
    RunningFleet fleet({.nodes = 30});
    SpreadNode &node = fleet.node(3);
    EXPECT_TRUE(node.isReady(fleet.now()));
    EXPECT_FALSE(node.isReady(fleet.now() + 3s));
    fleet.pause(1.0, 3s);
    fleet.run(3s + 300ms);
    EXPECT_TRUE(node.isReady(fleet.now()));
}

// Guards against a node that sends a large instance list to all others at once after a mass restart.
TEST(SpreadNodeTest, InstanceListsAreGivenWithinABudget)
{
    const SpreadStrategy strategy{.parser = SpreadFleet::parse};
    SpreadNode node({.listBytesBurst = 1, .listBytesPerSecond = 1}, strategy, TimePoint{1h});
    SpreadActions actions;
    node.onInstanceList(TimePoint{1h}, {Instance{}}, actions, 5);
    EXPECT_FALSE(PeerAnswer::fromBytes(node.documentDelta({}, 5))->instances.size() > 0) << "the requester has this revision";
    EXPECT_TRUE(PeerAnswer::fromBytes(node.documentDelta({}, 4))->instances.size() > 0);
    EXPECT_FALSE(PeerAnswer::fromBytes(node.documentDelta({}, 4))->instances.size() > 0);
    node.onTick(TimePoint{1h} + 500s, actions);
    EXPECT_TRUE(PeerAnswer::fromBytes(node.documentDelta({}, 4))->instances.size() > 0);
}

// Guards against daemons whose parser differs from the one that operators validate their documents with.
TEST(SpreadNodeTest, DefaultParserIsTheDocumentReader)
{
    const QByteArray text = "[document]\nversion = 17\n[team net]\ncontact = net@example.org\n[data-centre north]\nowner = net\nregion = r1\nstate = in\n";
    SpreadNode node({}, TimePoint{1h});
    SpreadActions actions;
    node.onPlatformDocument(TimePoint{1h}, 1, text, actions);
    ASSERT_TRUE(node.configuration());
    EXPECT_EQ(node.configuration()->version().number, 17U);
    EXPECT_NE(node.configuration()->findDataCentre(QStringLiteral("north")), nullptr);
    node.onPlatformDocument(TimePoint{1h}, 2, "[document]\nversion = 18\n[unknown]\n", actions);
    EXPECT_EQ(node.configuration()->version().number, 17U);
    const auto isRefusal = [](const SpreadAction &action) {
        const auto *event = std::get_if<RecordSpreadEvent>(&action);
        return event != nullptr && event->number == EventNumber::ConfigurationRefused && event->detail.contains(QLatin1String("unknown"));
    };
    EXPECT_EQ(std::ranges::count_if(actions, isRefusal), 1);
}

// Guards against two concurrent pulls from the same peer.
TEST(SpreadNodeTest, OnePullAtATimeForEachPeer)
{
    SpreadStrategy strategy{.parser = SpreadFleet::parse};
    SpreadNode node({.name = QStringLiteral("a"), .dataCentre = QStringLiteral("d")}, strategy, TimePoint{1h});
    const Endpoint tunnel{1, 1};
    const Endpoint admin{1, 2};
    int pulls = 0;
    for (int step = 0; step < 15; ++step) {
        SpreadActions actions;
        node.onPeerVersion(TimePoint{1h} + step * 100ms, tunnel, {7, 7}, VersionNotice{admin, false}, actions);
        node.onTick(TimePoint{1h} + step * 100ms, actions);
        for (const SpreadAction &action : actions) {
            pulls += std::holds_alternative<PullDocument>(action) ? 1 : 0;
        }
    }
    EXPECT_EQ(pulls, 1);
}
