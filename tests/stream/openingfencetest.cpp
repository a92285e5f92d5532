#include "streamtestdata.h"

#include <stream/openingfence.h>

#include <gtest/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

class OpeningFenceTest : public testing::Test
{
protected:
    OpeningFenceTest()
        : m_directory({.agentPort = agentPort})
    {
        m_settings.target = targetAddress(1);
        m_settings.service = service;
        m_settings.dataCentre = QStringLiteral("dc1");
        apply(reading({target(1), target(2)}));
    }

    void apply(const std::vector<DirectoryChange> &changes, TimePoint now = start)
    {
        for (const DirectoryChange &change : changes) {
            m_directory.apply(now, change);
        }
    }

    static StreamMessage opening(quint64 version = 1, ServiceId of = service)
    {
        StreamMessage message;
        message.kind = StreamMessageKind::Opening;
        message.configurationVersion = version;
        message.service = of;
        message.candidates = {target(2).id};
        return message;
    }

    OpeningRefusal admit(TimePoint now, const StreamMessage &message = opening(), const Endpoint &to = route)
    {
        return m_fence.admit(now, message, to);
    }

    StreamAgentSettings m_settings;
    TargetDirectory m_directory;
    OpeningFence m_fence{m_settings, m_directory, start};
};

}

// Guards against a packet that reaches another service because a target of it has taken over the address.
TEST_F(OpeningFenceTest, RefusesOtherServices)
{
    EXPECT_EQ(admit(start), OpeningRefusal::None);
    EXPECT_EQ(admit(start, opening(1, serviceIdOf("another"))), OpeningRefusal::WrongService);
}

// Guards against new flows to a draining target, or into a data centre that is out, from a balancer that is not up to
// date.
TEST_F(OpeningFenceTest, RefusesWhileDrainingOrOut)
{
    apply({TargetListed{101, target(1, 1, true)}});
    EXPECT_EQ(admit(start + 10ms), OpeningRefusal::Draining);
    apply({TargetListed{102, target(1)}, DataCentreSwitched{103, QStringLiteral("dc1"), true}});
    EXPECT_EQ(admit(start + 10ms), OpeningRefusal::DataCentreOut);
    apply({DataCentreSwitched{104, QStringLiteral("dc1"), false}});
    EXPECT_EQ(admit(start + 10ms), OpeningRefusal::None);
}

// Guards against a caller that is refused because the last candidate has just begun to drain.
TEST_F(OpeningFenceTest, FreshDrainIsTheLastResort)
{
    apply({TargetListed{101, target(1, 1, true)}});
    StreamMessage last = opening();
    last.candidates.clear();
    EXPECT_EQ(admit(start + 900ms, last), OpeningRefusal::None);
    EXPECT_EQ(admit(start + 1s, last), OpeningRefusal::Draining);
}

// Guards against callers that are refused while the agent of the only target that takes flows stops as planned.
TEST_F(OpeningFenceTest, PlannedStopTakesOpeningsWithoutAnotherTarget)
{
    m_fence.setStopping();
    EXPECT_EQ(admit(start), OpeningRefusal::Stopping);
    StreamMessage last = opening();
    last.candidates.clear();
    EXPECT_EQ(admit(start, last), OpeningRefusal::None);
    apply({DataCentreSwitched{111, QStringLiteral("dc1"), true}});
    EXPECT_EQ(admit(start, last), OpeningRefusal::DataCentreOut);
    apply({DataCentreSwitched{112, QStringLiteral("dc1"), false}});
    m_fence.onTargetEnded();
    EXPECT_EQ(admit(start, last), OpeningRefusal::TargetEnded);
}

// Guards against a flow on a route that newer routes have removed, and against the refusal of a new route that this
// process does not have yet.
TEST_F(OpeningFenceTest, NewerRoutesDecide)
{
    const Endpoint added{0xc6120002, 80};
    EXPECT_EQ(admit(start, opening(1), added), OpeningRefusal::NoRoute);
    EXPECT_EQ(admit(start, opening(2), added), OpeningRefusal::None);
    apply({RoutesPublished{110, routes(3, {added})}});
    EXPECT_EQ(admit(start, opening(2), route), OpeningRefusal::NoRoute);
    EXPECT_EQ(admit(start, opening(2), added), OpeningRefusal::None);
}

// Guards against a cold target that gets more flows in a second than its limit.
TEST_F(OpeningFenceTest, ColdTargetsAreLimited)
{
    StreamTarget cold = target(1);
    cold.coldDeadline = start + 2s;
    apply({RoutesPublished{110, routes(2, {route}, 4.0)}, TargetListed{111, cold}});
    int admitted = 0;
    for (int step = 0; step < 100; ++step) {
        admitted += admit(start + step * 10ms, opening(2)) == OpeningRefusal::None ? 1 : 0;
    }
    EXPECT_EQ(admitted, 4);
    EXPECT_EQ(admit(start + 2100ms, opening(2)), OpeningRefusal::None);
}

// Guards against full load on a data centre that has just returned, where all targets are cold.
TEST_F(OpeningFenceTest, ReturningDataCentresAreCold)
{
    apply({RoutesPublished{110, routes(2, {route}, 4.0)}, DataCentreSwitched{111, QStringLiteral("dc1"), true}});
    apply({DataCentreSwitched{112, QStringLiteral("dc1"), false}}, start + 10s);
    int admitted = 0;
    for (int step = 0; step < 100; ++step) {
        admitted += admit(start + 10s + step * 10ms, opening(2)) == OpeningRefusal::None ? 1 : 0;
    }
    EXPECT_EQ(admitted, 4);
}

// Guards against decisions on the state from before a pause of the process.
TEST_F(OpeningFenceTest, SuspendsAfterAPause)
{
    m_fence.suspendUntil(start + 1s);
    EXPECT_EQ(admit(start + 500ms), OpeningRefusal::Outdated);
    m_fence.onDirectoryRead(true);
    EXPECT_EQ(admit(start + 500ms), OpeningRefusal::None);
}

// Guards against full load on a cold target whose entry has gone.
TEST_F(OpeningFenceTest, LimitOfAColdTargetStaysWhileItsEntryIsMissing)
{
    StreamTarget cold = target(1);
    cold.coldDeadline = start + 20s;
    apply({RoutesPublished{110, routes(2, {route}, 4.0)}, TargetListed{111, cold}});
    admit(start, opening(2));
    apply({TargetUnlisted{112, cold.name}}, start);
    m_directory.onTick(start + 3s);
    int admitted = 0;
    for (int step = 0; step < 100; ++step) {
        admitted += admit(start + 3s + step * 10ms, opening(2)) == OpeningRefusal::None ? 1 : 0;
    }
    EXPECT_EQ(admitted, 4);
}
