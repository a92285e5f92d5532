#include "streamtestdata.h"

#include <stream/routehistoryqueries.h>

#include <gtest/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

constexpr Duration flowAge = 60s;

RouteHistory historyOf(bool isInitialStart)
{
    return RouteHistory({.maximumFlowAge = flowAge, .isInitialStart = isInitialStart});
}

}

// Guards against a former service that is forgotten while it holds flows, or kept for ever.
TEST(RouteHistoryTest, FormerServicesAreKeptForTheLifetimeOfTheirFlows)
{
    RouteHistory history = historyOf(true);
    const RouteTablePointer both = routesTo(1, {{service, 1}, {otherService, 1}});
    const RouteTablePointer one = routesTo(2, {{service, 1}});
    history.onRoutes(start, nullptr, *both);
    EXPECT_FALSE(history.contains(route, otherService));
    history.onRoutes(start + 1s, both.get(), *one);
    EXPECT_TRUE(history.contains(route, otherService));
    EXPECT_FALSE(history.contains(route, service));
    EXPECT_EQ(history.nextDeadline(), start + 1s + flowAge);
    history.onTick(start + flowAge);
    EXPECT_TRUE(history.contains(route, otherService));
    history.onTick(start + 1s + flowAge);
    EXPECT_FALSE(history.contains(route, otherService));
}

// Guards against lookups at former services of a route that was removed, which ends its flows.
TEST(RouteHistoryTest, RemovalOfARouteEndsItsFlows)
{
    RouteHistory history = historyOf(true);
    const RouteTablePointer both = routesTo(1, {{service, 1}, {otherService, 1}});
    const RouteTablePointer one = routesTo(2, {{service, 1}});
    const RouteTablePointer none = routesTo(3, {});
    history.onRoutes(start, nullptr, *both);
    history.onRoutes(start, both.get(), *one);
    history.onRoutes(start, one.get(), *none);
    history.onRoutes(start, none.get(), *routesTo(4, {{service, 1}}));
    EXPECT_FALSE(history.contains(route, otherService));
}

// Guards against a process that takes what it has seen since its start for all that was in force.
TEST(RouteHistoryTest, HistoryIsCompleteOnceItIsLongEnough)
{
    RouteHistory history = historyOf(false);
    EXPECT_FALSE(history.isComplete(start + 1h));
    history.onRoutes(start, nullptr, *routesTo(1, {{service, 1}}));
    EXPECT_FALSE(history.isComplete(start + flowAge - 1ms));
    EXPECT_TRUE(history.isComplete(start + flowAge));
    RouteHistory initial = historyOf(true);
    initial.onRoutes(start, nullptr, *routesTo(1, {{service, 1}}));
    EXPECT_TRUE(initial.isComplete(start));
    initial.awaitPeer(start + 1s);
    EXPECT_FALSE(initial.isComplete(start));
    initial.onMerged(start);
    EXPECT_TRUE(initial.isComplete(start));
}

namespace
{

class RouteHistoryQueriesTest : public testing::Test
{
protected:
    RouteHistoryQueriesTest()
    {
        m_settings.endpoint = agentAddress(1);
        m_settings.dataCentre = QStringLiteral("dc1");
        for (const DirectoryChange &change : reading({target(1), target(2), target(4)})) {
            m_directory.apply(start, change);
        }
        m_queries.onRoutes(start, false);
    }

    /// An answer of a peer that knows one former service.
    StreamMessage answer(quint64 version) const
    {
        StreamMessage message;
        message.kind = StreamMessageKind::RouteHistory;
        message.sender = agentAddress(2);
        message.configurationVersion = version;
        message.formerServices = {{route, otherService, 5000}};
        message.partCount = 1;
        message.followedMilliseconds = 120'000;
        return message;
    }

    StreamAgentSettings m_settings;
    TargetDirectory m_directory{{.agentPort = agentPort}};
    RouteHistoryQueries m_queries{m_settings, m_directory};
};

}

// Guards against a started agent that does not ask, or that goes on once it knows.
TEST_F(RouteHistoryQueriesTest, StartedAgentAsksUntilItKnows)
{
    const std::optional<Endpoint> first = m_queries.takeReceiver(start);
    ASSERT_TRUE(first.has_value());
    EXPECT_NE(*first, m_settings.endpoint);
    EXPECT_FALSE(m_queries.takeReceiver(start).has_value());
    EXPECT_TRUE(m_queries.takeReceiver(start + m_settings.historyQueryInterval).has_value());
    m_queries.onAnswer(start + 300ms, answer(1));
    EXPECT_TRUE(m_directory.routeHistory().isComplete(start + 300ms));
    EXPECT_TRUE(m_directory.mayHoldFlows(route, otherService));
    EXPECT_EQ(m_queries.nextDeadline(), TimePoint::max());
}

// Guards against an answer that lacks what the peer will learn from the version that it has not read yet, and against one whose
// other parts were lost.
TEST_F(RouteHistoryQueriesTest, IncompleteAnswersDoNotCount)
{
    m_directory.apply(start, RoutesPublished{200, routesTo(2, {{service, 1}})});
    m_queries.onRoutes(start, false);
    m_queries.takeReceiver(start);
    m_queries.onAnswer(start, answer(1));
    EXPECT_FALSE(m_directory.routeHistory().isComplete(start));
    StreamMessage part = answer(2);
    part.partCount = 2;
    m_queries.onAnswer(start, part);
    EXPECT_FALSE(m_directory.routeHistory().isComplete(start));
    m_queries.onAnswer(start, part);
    EXPECT_TRUE(m_directory.routeHistory().isComplete(start));
}

// Guards against a query to readers and others after each version by the processes that see all versions.
TEST_F(RouteHistoryQueriesTest, ReadersOfTheStoreNeedNoPeer)
{
    m_queries.onAnswer(start, answer(1));
    m_directory.apply(start, RoutesPublished{200, routesTo(2, {{service, 1}})});
    m_queries.onRoutes(start, true);
    EXPECT_EQ(m_queries.nextDeadline(), TimePoint::max());
    EXPECT_TRUE(m_directory.routeHistory().isComplete(start));
    m_directory.apply(start, RoutesPublished{201, routesTo(3, {{service, 1}})});
    m_queries.onRoutes(start, false);
    EXPECT_FALSE(m_directory.routeHistory().isComplete(start));
    EXPECT_TRUE(m_queries.takeReceiver(start).has_value());
    EXPECT_TRUE(RouteHistoryQueries::parts(start, m_directory.routeHistory(), {}).empty()) << "it may have missed versions itself";
}

// Guards against answers that do not fit into a packet.
TEST_F(RouteHistoryQueriesTest, LongHistoriesAreAnsweredInParts)
{
    std::vector<FormerServiceReport> reports;
    for (quint16 port = 1; port <= 200; ++port) {
        reports.push_back({{route.address, port}, otherService, 5000});
    }
    m_directory.routeHistory().merge(start, reports);
    const std::vector<StreamMessage> parts = RouteHistoryQueries::parts(start, m_directory.routeHistory(), {});
    ASSERT_EQ(parts.size(), 3);
    EXPECT_EQ(parts.front().partCount, 3);
    EXPECT_EQ(parts[0].formerServices.size() + parts[1].formerServices.size() + parts[2].formerServices.size(), 200);
}
