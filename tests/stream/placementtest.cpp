#include "streamtestdata.h"

#include <stream/placement.h>

#include <gtest/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

class PlacementTest : public testing::Test
{
protected:
    PlacementTest()
        : m_directory({.agentPort = agentPort})
        , m_placement({.dataCentre = QStringLiteral("dc0")})
    {
        // Targets 3, 6 and 9 are in the data centre of the balancer.
        apply(reading({target(1), target(3), target(6), target(9)}));
    }

    void apply(const std::vector<DirectoryChange> &changes, TimePoint now = start)
    {
        for (const DirectoryChange &change : changes) {
            m_directory.apply(now, change);
        }
    }

    std::vector<TargetId> order(TimePoint now = start)
    {
        return m_placement.order(now, m_directory, service, flow, 8);
    }

    static LoadReport load(quint16 inProgress, quint32 serviceMicroseconds, bool isClosed = false)
    {
        return {inProgress, static_cast<quint16>(inProgress * 100), 10, serviceMicroseconds, 0, 0, isClosed};
    }

    TargetDirectory m_directory;
    Placement m_placement;
};

}

// Guards against a busy or slow target that gets flows while an idle or fast one is available.
TEST_F(PlacementTest, PrefersTheShortestExpectedTime)
{
    m_placement.onLoad(start, target(3).id, load(6, 10'000));
    m_placement.onLoad(start, target(6).id, load(0, 30'000));
    m_placement.onLoad(start, target(9).id, load(1, 10'000));
    const std::vector<TargetId> ordered = order();
    ASSERT_EQ(ordered.size(), 4);
    EXPECT_EQ(ordered.front(), target(9).id);
}

// Guards against an opening that is offered to an agent that does not answer while another one, which is about to stop, would
// take it or forward it.
TEST_F(PlacementTest, ClosedTargetsComeBeforeSilentOnes)
{
    m_placement.onUnanswered(start, target(3).id);
    m_placement.onLoad(start, target(6).id, load(0, 10'000, true));
    m_placement.onUnanswered(start, target(9).id);
    const std::vector<TargetId> ordered = order();
    ASSERT_EQ(ordered.size(), 4);
    EXPECT_EQ(ordered[0], target(1).id);
    EXPECT_EQ(ordered[1], target(6).id);
}

// Guards against a stampede to one target: flows that this balancer has just offered count before the target reports
// them.
TEST_F(PlacementTest, OwnOffersCountAtOnce)
{
    for (const int index : {1, 3, 6, 9}) {
        m_placement.onLoad(start, target(index).id, load(0, 10'000));
    }
    std::map<TargetId, int> chosen;
    for (int count = 0; count < 40; ++count) {
        const TargetId best = order().front();
        ++chosen[best];
        m_placement.onOffered(start, best);
    }
    EXPECT_EQ(chosen.size(), 4);
    for (const auto &[id, count] : chosen) {
        EXPECT_LE(count, 14);
    }
}

// Guards against openings that wait for an unresponsive target while others respond.
TEST_F(PlacementTest, SilentAndClosedTargetsComeLast)
{
    m_placement.onUnanswered(start, target(3).id);
    m_placement.onLoad(start, target(6).id, load(0, 1'000, true));
    const std::vector<TargetId> ordered = order();
    ASSERT_EQ(ordered.size(), 4);
    EXPECT_EQ(ordered.front(), target(9).id);
    EXPECT_TRUE(ordered.at(1) == target(1).id);
    EXPECT_EQ(m_placement.takeDuePings(start), std::vector{target(3).id});
    m_placement.onAgentMessage(start + 10ms, target(3).id);
    EXPECT_FALSE(m_placement.isSuspected(start + 10ms, target(3).id));
}

// Guards against flows to draining targets and into data centres that are out.
TEST_F(PlacementTest, DrainingTargetsGetNoFlows)
{
    apply({TargetListed{101, target(3, 1, true)}, DataCentreSwitched{102, QStringLiteral("dc1"), true}});
    const std::vector<TargetId> ordered = order(start + 10ms);
    EXPECT_EQ(ordered.size(), 2);
    EXPECT_EQ(std::ranges::count(ordered, target(3).id), 0);
    EXPECT_EQ(std::ranges::count(ordered, target(1).id), 0);
}

// Guards against refused callers when all targets of a service have just begun to drain, and against flows to them for
// longer.
TEST_F(PlacementTest, FreshDrainsAreTheLastResort)
{
    apply({TargetListed{101, target(1, 1, true)},
           TargetListed{102, target(3, 1, true)},
           TargetListed{103, target(6, 1, true)},
           TargetListed{104, target(9, 1, true)}});
    EXPECT_EQ(order(start + 500ms).size(), 4);
    EXPECT_TRUE(order(start + 1s).empty());
}

// Guards against a target that fails its requests immediately and attracts all flows because it looks fast and idle.
TEST_F(PlacementTest, FailingTargetsGetFlowsLast)
{
    for (const int index : {1, 3, 6}) {
        m_placement.onLoad(start, target(index).id, {4, 400, 10, 30'000, 0, 900, false});
    }
    m_placement.onLoad(start, target(9).id, {0, 0, 10, 2'000, 500, 900, false});
    EXPECT_EQ(order().back(), target(9).id);
    // A target that has returned errors since its start has no typical answers of its own; it is compared with the
    // others.
    m_placement.onLoad(start, target(9).id, {0, 0, 10, 2'000, 0, 120, false});
    EXPECT_EQ(order().back(), target(9).id);
}

// Guards against a healthy target that gets no flows after a single failed request, such as one cut off by a restart.
TEST_F(PlacementTest, OneFailureIsNoEvidence)
{
    for (const int index : {1, 6, 9}) {
        m_placement.onLoad(start, target(index).id, {3, 300, 10, 30'000, 0, 900, false});
    }
    m_placement.onLoad(start, target(3).id, {1, 100, 10, 30'000, 80, 900, false});
    EXPECT_EQ(order().front(), target(3).id);
}
