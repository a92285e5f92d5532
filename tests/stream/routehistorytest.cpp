#include "streamtestdata.h"

#include <stream/routehistoryqueries.h>

#include <gtest/gtest.h>

#include <set>

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
    history.onRoutes(start, nullptr, *both, true);
    EXPECT_FALSE(history.contains(route, otherService));
    history.onRoutes(start + 1s, both.get(), *one, true);
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
    history.onRoutes(start, nullptr, *both, true);
    history.onRoutes(start, both.get(), *one, true);
    history.onRoutes(start, one.get(), *none, true);
    history.onRoutes(start, none.get(), *routesTo(4, {{service, 1}}), true);
    EXPECT_FALSE(history.contains(route, otherService));
}

// Guards against a process that takes what it has seen since its start for all that was in force.
TEST(RouteHistoryTest, HistoryIsCompleteOnceItIsLongEnough)
{
    RouteHistory history = historyOf(false);
    EXPECT_FALSE(history.isComplete(start + 1h));
    history.onRoutes(start, nullptr, *routesTo(1, {{service, 1}}), true);
    EXPECT_FALSE(history.isComplete(start + flowAge - 1ms));
    EXPECT_TRUE(history.isComplete(start + flowAge));
    RouteHistory initial = historyOf(true);
    initial.onRoutes(start, nullptr, *routesTo(1, {{service, 1}}), true);
    EXPECT_TRUE(initial.isComplete(start));
}

// Guards against a process that takes its record for complete although it has skipped versions, and against a peer that has skipped
// them too and makes it complete.
TEST(RouteHistoryTest, SkippedVersionsEndTheRecord)
{
    RouteHistory history = historyOf(true);
    const RouteTablePointer first = routesTo(1, {{service, 1}});
    const RouteTablePointer second = routesTo(2, {{service, 1}});
    const RouteTablePointer fourth = routesTo(4, {{service, 1}});
    history.onRoutes(start, nullptr, *first, false);
    history.onRoutes(start + 1s, first.get(), *second, true);
    EXPECT_TRUE(history.isComplete(start + 1s));
    history.onRoutes(start + 2s, second.get(), *fourth, false);
    EXPECT_FALSE(history.isComplete(start + 2s));
    history.onMerged(start + 1s);
    EXPECT_EQ(history.followedFor(start + 2s), 1s);
    EXPECT_FALSE(history.isComplete(start + 2s));
    EXPECT_FALSE(history.isComplete(start + 1s + flowAge - 1ms));
    EXPECT_TRUE(history.isComplete(start + 1s + flowAge));
    history.onMerged(start + 2s - flowAge);
    EXPECT_TRUE(history.isComplete(start + 2s));
}

// Guards against a record that a late copy of an earlier version ends, and against the loss of what that version allowed.
TEST(RouteHistoryTest, EarlierVersionsAddToTheRecord)
{
    RouteHistory history = historyOf(true);
    const RouteTablePointer third = routesTo(3, {{service, 1}});
    history.onRoutes(start, nullptr, *third, false);
    history.onEarlierRoutes(start, *routesTo(2, {{otherService, 1}}), *third);
    EXPECT_TRUE(history.contains(route, otherService));
    EXPECT_TRUE(history.isComplete(start));
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
        m_queries.onRoutes(start);
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
    m_queries.onRoutes(start);
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

// Guards against a query after each version by the processes that the source gives all versions, and against one of them that answers for
// a time in which it has skipped versions.
TEST_F(RouteHistoryQueriesTest, GaplessVersionsNeedNoPeer)
{
    m_queries.onAnswer(start, answer(1));
    m_directory.apply(start, RoutesPublished{200, routesTo(2, {{service, 1}}), true});
    m_queries.onRoutes(start);
    EXPECT_EQ(m_queries.nextDeadline(), TimePoint::max());
    EXPECT_TRUE(m_directory.routeHistory().isComplete(start));
    EXPECT_EQ(RouteHistoryQueries::parts(start, m_directory.routeHistory(), {}).front().followedMilliseconds, 120'000);
    m_directory.apply(start, RoutesPublished{201, routesTo(4, {{service, 1}})});
    m_queries.onRoutes(start);
    EXPECT_FALSE(m_directory.routeHistory().isComplete(start));
    EXPECT_TRUE(m_queries.takeReceiver(start).has_value());
    const std::vector<StreamMessage> parts = RouteHistoryQueries::parts(start + 3s, m_directory.routeHistory(), {});
    EXPECT_EQ(parts.front().followedMilliseconds, 3000) << "it has skipped a version 3 s ago";
    EXPECT_EQ(parts.front().formerServices.size(), 1) << "what it knows stays true";
}

// Guards against a process that takes its record for complete because nobody has answered, and against one that asks the same peers for
// ever although others know more.
TEST_F(RouteHistoryQueriesTest, SilenceMakesNoRecordComplete)
{
    std::set<Endpoint> asked;
    for (TimePoint now = start; now < start + 30s; now += 10ms) {
        if (const std::optional<Endpoint> peer = m_queries.takeReceiver(now)) {
            asked.insert(*peer);
            StreamMessage brief = answer(1);
            brief.followedMilliseconds = 0;
            m_queries.onAnswer(now, brief);
        }
        ASSERT_FALSE(m_directory.routeHistory().isComplete(now));
    }
    EXPECT_EQ(asked, (std::set<Endpoint>{agentAddress(2), agentAddress(4)}));
    EXPECT_LE(m_queries.nextDeadline(), start + 30s + m_settings.historyQueryLateInterval);
    m_queries.onAnswer(start + 30s, answer(1));
    EXPECT_TRUE(m_directory.routeHistory().isComplete(start + 30s));
    EXPECT_EQ(m_queries.nextDeadline(), TimePoint::max());
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
