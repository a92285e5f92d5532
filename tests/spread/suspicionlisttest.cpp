#include <spread/suspicionlist.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

constexpr TimePoint start{1h};

Suspicion suspect(quint32 target, quint64 incarnation, bool isRefuted = false)
{
    return {{TargetId{target}, {1, 1}}, Incarnation{incarnation}, isRefuted, TargetId{99}};
}

InstanceList makePeers(int count)
{
    InstanceList peers;
    for (int index = 0; index < count; ++index) {
        peers.append({QString::number(index), InstanceRole::Balancer, QStringLiteral("a"), {static_cast<quint32>(index), 1}, {}, {}, false});
    }
    return peers;
}

}

// Guards against a message that circulates forever.
TEST(SuspicionListTest, PassesOnNewSuspicionsOnlyAndOnlyEightHops)
{
    SuspicionList list({});
    std::vector<SendSuspicion> actions;
    list.onSuspicion(start, suspect(1, 5), 0, makePeers(100), actions);
    ASSERT_EQ(actions.size(), 4U);
    EXPECT_EQ(actions[0].hopCount, 1);
    actions.clear();
    list.onSuspicion(start + 1s, suspect(1, 5), 3, makePeers(100), actions);
    EXPECT_TRUE(actions.empty());
    list.onSuspicion(start + 1s, suspect(2, 5), 8, makePeers(100), actions);
    EXPECT_TRUE(actions.empty());
    EXPECT_TRUE(list.isSuspected(start + 1s, TargetId{2}));
}

// Guards against a target that stays suspected forever after its refutation was lost.
TEST(SuspicionListTest, Expires)
{
    SuspicionList list({});
    std::vector<SendSuspicion> actions;
    list.onSuspicion(start, suspect(1, 5), 0, makePeers(10), actions);
    EXPECT_TRUE(list.isSuspected(start + 29s, TargetId{1}));
    EXPECT_FALSE(list.isSuspected(start + 30s, TargetId{1}));
}

// Guards against a dead target that is used again each time its suspicion expires.
TEST(SuspicionListTest, RepeatedSuspicionRenews)
{
    SuspicionList list({});
    std::vector<SendSuspicion> actions;
    list.onSuspicion(start, suspect(1, 5), 0, makePeers(10), actions);
    list.onSuspicion(start + 20s, suspect(1, 5), 0, makePeers(10), actions);
    EXPECT_EQ(actions.size(), 8U);
    EXPECT_TRUE(list.isSuspected(start + 45s, TargetId{1}));
}

// Guards against a delayed suspicion that overrides a more recent heartbeat.
TEST(SuspicionListTest, HeartbeatRefutes)
{
    SuspicionList list({});
    std::vector<SendSuspicion> actions;
    list.onSuspicion(start, suspect(1, 5), 0, makePeers(10), actions);
    EXPECT_TRUE(list.onHeartbeat(start + 1s, TargetId{1}, Incarnation{6}));
    EXPECT_FALSE(list.isSuspected(start + 1s, TargetId{1}));
    list.onSuspicion(start + 2s, suspect(1, 5), 4, makePeers(10), actions);
    EXPECT_FALSE(list.isSuspected(start + 2s, TargetId{1}));
    list.onSuspicion(start + 5s, suspect(1, 6), 0, makePeers(10), actions);
    EXPECT_TRUE(list.isSuspected(start + 5s, TargetId{1}));
}

// Guards against a refutation that does not reach nodes which receive no heartbeats from the target.
TEST(SuspicionListTest, RefutationIsPassedOnAndWins)
{
    SuspicionList list({});
    std::vector<SendSuspicion> actions;
    list.onSuspicion(start, suspect(1, 5), 1, makePeers(10), actions);
    list.onSuspicion(start + 1s, suspect(1, 6, true), 1, makePeers(10), actions);
    EXPECT_EQ(actions.size(), 8U);
    EXPECT_FALSE(list.isSuspected(start + 1s, TargetId{1}));
    list.onSuspicion(start + 1s, suspect(1, 5), 2, makePeers(10), actions);
    EXPECT_FALSE(list.isSuspected(start + 1s, TargetId{1}));
}

// Guards against memory use that grows with the number of messages from peers.
TEST(SuspicionListTest, IsBounded)
{
    SuspicionList list({.capacity = 10});
    std::vector<SendSuspicion> actions;
    for (quint32 target = 1; target <= 20; ++target) {
        list.onSuspicion(start, suspect(target, 1), 8, {}, actions);
    }
    EXPECT_EQ(list.size(), 10U);
    EXPECT_EQ(list.overflows(), 10U);
    list.onSuspicion(start + 31s, suspect(50, 1), 8, {}, actions);
    EXPECT_TRUE(list.isSuspected(start + 31s, TargetId{50}));
}
