#include "tests/agent/modeltarget.h"

#include <agent/coldstartramp.h>
#include <agent/requesttable.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

constexpr Incarnation incarnation{9};
const FlowKey flow{{1, 1}, {2, 2}, 17};
const TimePoint start{1h};

/// A request table with its target, under a constant load above the target's capacity.
class Overload
{
public:
    Overload(ColdStartStrategy strategy, const ModelTarget::Settings &settings, quint64 seed)
        : m_table(tableSettings(strategy))
        , m_target(settings, seed, start)
        , m_serviceTime(settings.serviceTime)
    {
        m_table.setLimits(settings.slotCount, static_cast<int>(settings.coldShare * 100), static_cast<int>(settings.warmTime / 1s), 10);
        m_table.openFlow(flow, 1, incarnation, false);
        m_target.setBegunHandler([this](const TargetRequest &) { ++m_begun; });
    }

    void run(Duration elapsed)
    {
        for (const TimePoint end = m_now + elapsed; m_now < end;) {
            step();
        }
    }

    /// Runs until the ramp has detected a cold target; false if this takes longer than @p limit.
    bool runUntilCold(Duration limit)
    {
        const quint64 before = m_table.ramp().coldTurns();
        for (const TimePoint end = m_now + limit; m_now < end && m_table.ramp().coldTurns() == before;) {
            step();
        }
        return m_table.ramp().coldTurns() != before;
    }

    void restartTarget()
    {
        m_target.restart(m_now);
        AgentActions actions;
        m_table.onTargetLost(m_now, actions);
        execute(actions);
    }

    ModelTarget &target()
    {
        return m_target;
    }

    const RequestTable &table() const
    {
        return m_table;
    }

    TimePoint now() const
    {
        return m_now;
    }

    /// The number of requests that began since the previous call.
    int takeBegun()
    {
        return std::exchange(m_begun, 0);
    }

private:
    static RequestTableSettings tableSettings(ColdStartStrategy strategy)
    {
        RequestTableSettings settings;
        settings.ramp.strategy = strategy;
        return settings;
    }

    void step()
    {
        m_now += m_serviceTime / 4;
        AgentActions actions;
        for (const TargetReplyBody &reply : m_target.advance(m_now)) {
            if (const auto *const part = std::get_if<TargetAnswerPart>(&reply)) {
                m_table.onTargetAnswerPart(m_now, *part, actions);
                m_table.onAnswerAck(m_now, flow, AnswerAck{1, part->number, ~quint64{0}}, actions);
            }
        }
        m_table.onRequest(m_now, flow, Request{1, ++m_number, false, 5000, incarnation, "x"}, actions);
        m_table.onTick(m_now, actions);
        execute(actions);
    }

    void execute(const AgentActions &actions)
    {
        for (const AgentAction &action : actions) {
            if (const auto *const sent = std::get_if<SendToTarget>(&action)) {
                m_target.onCommand(m_now, sent->command);
            }
        }
    }

    RequestTable m_table;
    ModelTarget m_target;
    Duration m_serviceTime;
    TimePoint m_now = start;
    quint64 m_number = 0;
    int m_begun = 0;
};

ModelTarget::Settings anyTarget()
{
    ModelTarget::Settings settings;
    settings.slotCount = *rc::gen::element<quint32>(1, 2, 5);
    // Service times vary by a factor of four.
    settings.serviceTime = std::chrono::milliseconds(*rc::gen::inRange(10, 41));
    settings.coldShare = *rc::gen::element(0.1, 0.2);
    settings.warmTime = 10s;
    settings.coldSlowdown = *rc::gen::element(1.0, 2.5, 4.0, 6.0);
    return settings;
}

void feed(ColdStartRamp &ramp, TimePoint &now, Duration responseTime, Duration elapsed)
{
    for (const TimePoint end = now + elapsed; now < end;) {
        now += 50ms;
        ramp.onStart(now);
        ramp.onResponse(now, responseTime);
    }
}

}

// Guards P3: a target that has started or restarted must never receive more requests than its current share permits.
RC_GTEST_PROP(ColdStartTest, ColdTargetIsNeverOverloaded, ())
{
    Overload overload(ColdStartStrategy::Ramp, anyTarget(), *rc::gen::arbitrary<quint64>());
    overload.run(std::chrono::seconds(*rc::gen::inRange(1, 15)));
    overload.restartTarget();
    // The ramp must also reach full load eventually.
    overload.run(20s);
    RC_ASSERT(overload.table().ramp().isWarm());
    RC_ASSERT(overload.target().overloads() == 0);
}

// Guards against a simulated target that is never overloaded: without the ramp, every cold target must be.
RC_GTEST_PROP(ColdStartTest, BaselineOverloadsColdTargets, ())
{
    ModelTarget::Settings settings = anyTarget();
    settings.slotCount = *rc::gen::element<quint32>(2, 5);
    // A slower target limits its own rate by response times while all slots are busy, and is not overloaded.
    settings.coldSlowdown = *rc::gen::element(1.0, 2.5);
    Overload overload(ColdStartStrategy::NoRamp, settings, *rc::gen::arbitrary<quint64>());
    overload.run(5s);
    RC_ASSERT(overload.target().overloads() > 0);
}

// Guards P3 when a target becomes cold without a restart: eight slow answers of sixteen must suffice for detection, and
// the ramp must start again.
RC_GTEST_PROP(ColdStartTest, SilentReturnToColdIsNoticed, ())
{
    ModelTarget::Settings settings = anyTarget();
    settings.coldSlowdown = *rc::gen::element(4.0, 5.0, 6.0);
    Overload overload(ColdStartStrategy::Ramp, settings, *rc::gen::arbitrary<quint64>());
    overload.run(20s);
    RC_ASSERT(overload.table().ramp().isWarm());
    overload.target().turnCold(overload.now());
    overload.takeBegun();
    RC_ASSERT(overload.runUntilCold(5s));
    // Requests that were at the target already, a window of sixteen answers, and the requests that replaced them.
    RC_ASSERT(overload.takeBegun() <= static_cast<int>(16 + 2 * settings.slotCount));
    overload.target().resetLoad();
    const int before = overload.target().overloads();
    overload.run(25s);
    RC_ASSERT(overload.target().overloads() == before);
    RC_ASSERT(overload.table().ramp().isWarm());
}

// Guards against a lasting baseline from a cold target, which would prevent detection when the target becomes cold
// again.
TEST(ColdStartRampTest, ColdStartDoesNotPoisonTheBaseline)
{
    ColdStartRamp ramp{ColdStartRampSettings{}};
    TimePoint now = start;
    feed(ramp, now, 100ms, 10s);
    feed(ramp, now, 25ms, 30s);
    ASSERT_TRUE(ramp.baseline());
    EXPECT_LT(*ramp.baseline(), 26ms);
    EXPECT_TRUE(ramp.isWarm());
    for (int count = 0; count < 8; ++count) {
        EXPECT_TRUE(ramp.isWarm());
        ramp.onResponse(now, 100ms);
    }
    EXPECT_EQ(ramp.sharePermille(), 100);
    EXPECT_EQ(ramp.coldTurns(), 1U);
}

// Guards against a permitted share that rises while the target is slow, idle or shedding.
TEST(ColdStartRampTest, OnlyGoodResponsesCount)
{
    ColdStartRamp ramp{ColdStartRampSettings{}};
    TimePoint now = start;
    feed(ramp, now, 20ms, 1s);
    const quint16 share = ramp.sharePermille();
    for (int count = 0; count < 30; ++count) {
        now += 1s;
        ramp.onResponse(now, 55ms);
    }
    EXPECT_EQ(ramp.sharePermille(), share);
    ramp.onShed(now);
    now += 1h;
    ramp.onShed(now);
    EXPECT_EQ(ramp.sharePermille(), share);
    now += 1h;
    ramp.onResponse(now, 20ms);
    EXPECT_LT(ramp.sharePermille(), share + 100);
}

// Guards against a target that has become permanently slower and stays at the cold share forever.
TEST(ColdStartRampTest, LastingSlownessIsAcceptedInTheEnd)
{
    ColdStartRamp ramp{ColdStartRampSettings{}};
    TimePoint now = start;
    feed(ramp, now, 20ms, 40s);
    EXPECT_TRUE(ramp.isWarm());
    feed(ramp, now, 80ms, 60s);
    EXPECT_FALSE(ramp.isWarm());
    feed(ramp, now, 80ms, 240s);
    EXPECT_TRUE(ramp.isWarm());
}

// Guards against treating a target as cold because of a mix of short and long requests.
RC_GTEST_PROP(ColdStartRampTest, FourfoldMixStaysWarm, (quint64 seed))
{
    std::mt19937_64 random(seed);
    ColdStartRamp ramp{ColdStartRampSettings{}};
    TimePoint now = start;
    for (int count = 0; count < 5000; ++count) {
        now += 50ms;
        ramp.onResponse(now, std::chrono::microseconds(std::uniform_int_distribution<int>(10000, 40000)(random)));
    }
    RC_ASSERT(ramp.isWarm());
    RC_ASSERT(ramp.coldTurns() == 0U);
}

// Guards against missing a cold target at light load, where only the few overlapping requests are slow (randomised seed
// 719).
TEST(ColdStartRampTest, SlowOverlapsTurnCold)
{
    ColdStartRamp ramp{ColdStartRampSettings{}};
    TimePoint now = start;
    feed(ramp, now, 20ms, 40s);
    for (int overlap = 0; overlap < 3; ++overlap) {
        EXPECT_TRUE(ramp.isWarm());
        feed(ramp, now, 20ms, 500ms);
        ramp.onResponse(now, 100ms, true);
    }
    EXPECT_EQ(ramp.sharePermille(), 100);
}

// Guards against treating a target as cold because of long requests, which are slow on their own or among good
// overlapping ones.
TEST(ColdStartRampTest, SlowRequestsOfAMixStayWarm)
{
    ColdStartRamp ramp{ColdStartRampSettings{}};
    TimePoint now = start;
    feed(ramp, now, 20ms, 40s);
    for (int round = 0; round < 30; ++round) {
        feed(ramp, now, 20ms, 200ms);
        ramp.onResponse(now, 100ms);
        ramp.onResponse(now, 100ms, true);
    }
    for (int round = 0; round < 30; ++round) {
        feed(ramp, now, 20ms, 500ms);
        ramp.onResponse(now, 100ms, true);
        ramp.onResponse(now, 20ms, true);
    }
    EXPECT_TRUE(ramp.isWarm());
    EXPECT_EQ(ramp.coldTurns(), 0U);
}

// Guards against a start rate above the share: with 10% of two slots, one slot must be busy 20% of the time.
TEST(ColdStartRampTest, StartRateFollowsTheShare)
{
    ColdStartRamp ramp{ColdStartRampSettings{}};
    ramp.setLimits(2, 10, 30);
    EXPECT_TRUE(ramp.mayStart(start, 0));
    EXPECT_FALSE(ramp.mayStart(start, 1));
    ramp.onStart(start);
    ramp.onResponse(start + 100ms, 100ms);
    EXPECT_EQ(ramp.permittedConcurrency(), 1U);
    EXPECT_FALSE(ramp.mayStart(start + 499ms, 0));
    EXPECT_TRUE(ramp.mayStart(start + 501ms, 0));
}
