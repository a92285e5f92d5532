#include "streamtestdata.h"

#include <stream/coldlimit.h>
#include <stream/coldtarget.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

constexpr std::size_t coldLimit = 4;

StreamAgentSettings agentSettings()
{
    StreamAgentSettings settings;
    settings.target = targetAddress(1);
    settings.service = service;
    settings.dataCentre = QStringLiteral("dc1");
    return settings;
}

StreamTarget coldTarget(TimePoint deadline, int incarnationNumber = 1)
{
    StreamTarget cold = target(1, incarnationNumber);
    cold.coldDeadline = deadline;
    return cold;
}

class ColdTargetTest : public testing::Test
{
protected:
    void apply(TimePoint now, const std::vector<DirectoryChange> &changes)
    {
        for (const DirectoryChange &change : changes) {
            m_directory.apply(now, change);
        }
    }

    void readDirectory(TimePoint now, const std::vector<StreamTarget> &targets, bool isFromSource = true)
    {
        apply(now, reading(targets));
        apply(now, {RoutesPublished{110, routes(2, {route}, coldLimit)}});
        m_cold.onDirectoryRead(isFromSource);
    }

    /// The target answers to packets all the time.
    void answer(TimePoint from, TimePoint to)
    {
        for (TimePoint now = from; now <= to; now += 100ms) {
            m_cold.identity().onSign(now);
        }
    }

    /// A warm target whose process is proven to be that of its entry by the time start + 5 s.
    void proveTarget()
    {
        readDirectory(start + 70ms, {target(1, 1)});
        answer(start, start + 5s);
        ASSERT_EQ(m_cold.limit(start + 5s), 0);
    }

    StreamAgentSettings m_settings = agentSettings();
    TargetDirectory m_directory{{.agentPort = agentPort}};
    ColdTarget m_cold{m_settings, m_directory, start};
};

class ColdTargetReadTest : public ColdTargetTest, public testing::WithParamInterface<bool>
{
};

}

// Guards against a cold target that gets its openings of one second twice: its agent is killed and starts again.
TEST_F(ColdTargetTest, OpeningsOfAnEarlierAgentMayBeInTheSameSecond)
{
    readDirectory(start + 70ms, {coldTarget(start + 5s)});
    EXPECT_EQ(m_cold.limit(start + 70ms), coldLimit);
    EXPECT_EQ(m_cold.spentUntil(start + 70ms), start + ColdLimit::window);
}

// Guards against cold targets that get no openings for a second after a loss of power, which was the end of every earlier
// agent: they were listed after the agent has read the directory.
TEST_F(ColdTargetTest, TargetsThatAreListedLaterGetTheirAllowanceAtOnce)
{
    readDirectory(start + 70ms, {coldTarget(start + 5s, 1)});
    apply(start + 200ms, {TargetListed{200, coldTarget(start + 5s, 2)}});
    EXPECT_EQ(m_cold.limit(start + 200ms), coldLimit);
    EXPECT_EQ(m_cold.spentUntil(start + 200ms), TimePoint{});
    m_cold.onDirectoryRead(true);
    EXPECT_EQ(m_cold.spentUntil(start + 200ms), TimePoint{}) << "only the first read tells what was listed before";
}

// Guards against full load on a target that has crashed and started again, while its entry still says that it is warm.
TEST_F(ColdTargetTest, TargetThatHasStartedAgainIsColdUntilItsEntryChanges)
{
    proveTarget();
    m_cold.identity().onEnded();
    m_cold.identity().onStarted(start + 10s);
    EXPECT_EQ(m_cold.limit(start + 10s), coldLimit);
    answer(start + 10s, start + 11900ms);
    EXPECT_EQ(m_cold.limit(start + 11999ms), coldLimit);
    EXPECT_EQ(m_cold.limit(start + 12s), 0) << "its cold time is over";
    m_cold.identity().onEnded();
    m_cold.identity().onStarted(start + 20s);
    apply(start + 20100ms, {TargetListed{200, target(1, 2)}});
    EXPECT_EQ(m_cold.limit(start + 20100ms), 0) << "the entry of the new process decides";
}

// Guards against full load on a target that has lost power together with its agent: the source, and peers if the source does not answer,
// serve the entry of the process before, which was warm.
TEST_P(ColdTargetReadTest, EntryOfTheFirstReadMayDescribeAnEarlierProcess)
{
    readDirectory(start + 70ms, {target(1, 1)}, GetParam());
    EXPECT_EQ(m_cold.limit(start + 80ms), coldLimit) << "nothing shows yet that the target runs";
    answer(start + 100ms, start + 2s);
    EXPECT_EQ(m_cold.limit(start + 2099ms), coldLimit);
    EXPECT_EQ(m_cold.limit(start + 2100ms), 0) << "its cold time is over";
    m_cold.identity().onStarted(start + 2100ms);
    EXPECT_EQ(m_cold.limit(start + 3s), coldLimit) << "it has started after its agent";
    apply(start + 3s, {TargetListed{200, target(1, 2)}});
    EXPECT_EQ(m_cold.limit(start + 3s), 0) << "a new entry describes the new process";
}

INSTANTIATE_TEST_SUITE_P(FromPeersAndFromTheSource, ColdTargetReadTest, testing::Bool());

// Guards against a warm target that is limited after a restart of its agent although its packets show that it is the same process as before.
TEST_F(ColdTargetTest, FlowsFromBeforeTheStartProveTheProcess)
{
    readDirectory(start + 70ms, {target(1, 1)});
    m_cold.identity().onHeldFlow(start + 75ms, start + 72ms);
    EXPECT_EQ(m_cold.limit(start + 75ms), coldLimit) << "held since after the start";
    m_cold.identity().onHeldFlow(start + 80ms, TimePoint{});
    EXPECT_EQ(m_cold.limit(start + 80ms), 0);
    m_cold.identity().onEnded();
    m_cold.identity().onStarted(start + 90ms);
    m_cold.identity().onHeldFlow(start + 95ms, TimePoint{});
    EXPECT_EQ(m_cold.limit(start + 95ms), coldLimit) << "another process holds no flow from before";
}

// Guards against a target that counts as warm although it may have started again while it was silent, as behind a cut, and against a warm one that
// is limited although its packets show that it has not.
TEST_F(ColdTargetTest, GapsEndTheProof)
{
    proveTarget();
    EXPECT_EQ(m_cold.limit(start + 8s), coldLimit) << "silent for three seconds";
    m_cold.identity().onHeldFlow(start + 8100ms, start + 8050ms);
    EXPECT_EQ(m_cold.limit(start + 8100ms), coldLimit) << "a flow from after the silence proves nothing";
    m_cold.identity().onHeldFlow(start + 8150ms, start + 4s);
    EXPECT_EQ(m_cold.limit(start + 8150ms), 0);
    m_cold.identity().onLostFlow(start + 8200ms);
    EXPECT_EQ(m_cold.limit(start + 8200ms), coldLimit) << "it may have started since";
}

// Guards against callers that are refused in the first seconds of the system, in which all targets would count as cold.
TEST_F(ColdTargetTest, FirstStartOfTheSystemNeedsNoProof)
{
    m_settings.directory.routeHistory.isInitialStart = true;
    TargetDirectory directory({.agentPort = agentPort});
    for (const DirectoryChange &change : reading({target(1, 1)})) {
        directory.apply(start, change);
    }
    directory.apply(start, RoutesPublished{110, routes(2, {route}, coldLimit)});
    ColdTarget cold(m_settings, directory, start);
    cold.onDirectoryRead(true);
    EXPECT_EQ(cold.limit(start + 500ms), 0);
    EXPECT_EQ(cold.limit(start + 3s), coldLimit) << "silent since";
}

// Guards against a warm target that is limited for ever under load: the limit keeps openings from it for a second, and its silence then passes
// for another gap in which it may have started again.
TEST_F(ColdTargetTest, LimitItselfMakesNoGap)
{
    readDirectory(start + 70ms, {target(1, 1)});
    ColdLimit limit;
    TimePoint now = start + 100ms;
    const TimePoint bound = now + 2s + ColdLimit::window;
    for (; now < bound && m_cold.limit(now) > 0; now += 1ms) {
        limit.setLimit(m_cold.limit(now));
        if (limit.admit(now)) {
            m_cold.identity().onSign(now);
        }
    }
    EXPECT_LT(now, bound);
}

// Guards against a warm target that is limited because its new entry arrives before its agent notices the start.
TEST_F(ColdTargetTest, EntryOfTheNewProcessMayArriveFirst)
{
    readDirectory(start + 70ms, {target(1, 1)});
    m_cold.identity().onEnded();
    apply(start + 1s, {TargetListed{200, target(1, 2)}});
    m_cold.identity().onStarted(start + 1050ms);
    EXPECT_EQ(m_cold.limit(start + 1100ms), 0);
}

// Guards against a second in which a cold target gets more openings than the limit. It starts again at any time, at times behind a cut, in which
// its registration is lost and its agent sees nothing of it; its agent may lose power with it.
RC_GTEST_PROP(ColdTargetRestartTest, RestartsOfTheTargetKeepTheLimit, ())
{
    const StreamAgentSettings settings = agentSettings();
    const auto milliseconds = [](int from, int to) {
        return std::chrono::milliseconds(*rc::gen::inRange(from, to));
    };
    TargetDirectory directory({.agentPort = agentPort});
    std::vector<TimePoint> taken;
    std::optional<ColdTarget> cold;
    std::optional<ColdLimit> limit;
    const auto startAgent = [&](TimePoint now, const StreamTarget &listed) {
        directory = TargetDirectory({.agentPort = agentPort});
        cold.emplace(settings, directory, now);
        limit.emplace();
        for (const DirectoryChange &change : reading({listed})) {
            directory.apply(now, change);
        }
        directory.apply(now, RoutesPublished{110, routes(2, {route}, coldLimit)});
        cold->onDirectoryRead(true);
    };
    startAgent(start, target(1, 1));
    TimePoint now = start;
    const int restarts = *rc::gen::inRange(1, 4);
    for (int restart = 1; restart <= restarts; ++restart) {
        const auto play = [&](TimePoint end, bool isCut, bool isAlive, TimePoint registration) {
            for (; now < end; now += std::chrono::milliseconds(5)) {
                if (now >= registration) {
                    StreamTarget entry = target(1, restart + 1);
                    entry.coldDeadline = end;
                    directory.apply(now, TargetListed{static_cast<quint64>(200 + restart), entry});
                }
                limit->setLimit(cold->limit(now));
                limit->setSpentUntil(cold->spentUntil(now));
                if (isCut || !limit->admit(now) || !isAlive) {
                    continue;
                }
                taken.push_back(now);
                cold->identity().onSign(now);
            }
        };
        play(now + milliseconds(1, 3000), false, true, TimePoint::max());
        const bool isCut = *rc::gen::arbitrary<bool>();
        if (!isCut) {
            // Packets stay without an answer, so that the port is probed.
            cold->identity().onEnded();
        }
        play(now + (isCut ? milliseconds(1201, 4000) : milliseconds(1, 2000)), isCut, false, TimePoint::max());
        if (*rc::gen::arbitrary<bool>()) {
            startAgent(now, target(1, restart));
        } else if (!isCut) {
            cold->identity().onStarted(now);
        }
        // The process runs again and is cold for two seconds; the cut ends, and a heartbeat later its registration arrives.
        taken.clear();
        const TimePoint coldUntil = now + 2s;
        const TimePoint healed = isCut ? now + milliseconds(1, 700) : now;
        play(healed, true, true, TimePoint::max());
        play(coldUntil, false, true, healed + milliseconds(1, 1300));
        for (std::size_t first = 0; first + coldLimit < taken.size(); ++first) {
            RC_ASSERT(taken[first + coldLimit] - taken[first] >= 1s);
        }
    }
}

// Guards against a second that holds more openings than the limit, over all processes of the agent and of the target.
// Agents end and start again at any time, also without a pause, and read the directory some time later.
RC_GTEST_PROP(ColdTargetRestartTest, RestartsOfTheAgentKeepTheLimit, ())
{
    const StreamAgentSettings settings = agentSettings();
    std::vector<TimePoint> admitted;
    TimePoint now = start;
    const int processes = *rc::gen::inRange(1, 6);
    for (int process = 0; process < processes; ++process) {
        TargetDirectory directory({.agentPort = agentPort});
        ColdTarget cold(settings, directory, now);
        ColdLimit limit;
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
        for (const DirectoryChange &change : reading({coldTarget(start + 60s)})) {
            directory.apply(now, change);
        }
        directory.apply(now, RoutesPublished{110, routes(2, {route}, coldLimit)});
        cold.onDirectoryRead(true);
        for (const int gap : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120))) {
            now += std::chrono::milliseconds(gap);
            limit.setLimit(cold.limit(now));
            limit.setSpentUntil(cold.spentUntil(now));
            if (limit.admit(now)) {
                admitted.push_back(now);
            }
        }
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 600));
    }
    for (std::size_t first = 0; first + coldLimit < admitted.size(); ++first) {
        RC_ASSERT(admitted[first + coldLimit] - admitted[first] >= 1s);
    }
}
