#include "streamtestdata.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

/// What the callers of one priority got.
struct Outcome
{
    int sent, inTime, late, refusedAtOnce, refusedLate;
};

QString describe(const Outcome &outcome)
{
    return QStringLiteral("sent %1 in-time %2 late %3 refused-at-once %4 refused-late %5; ")
        .arg(outcome.sent)
        .arg(outcome.inTime)
        .arg(outcome.late)
        .arg(outcome.refusedAtOnce)
        .arg(outcome.refusedLate);
}

/// Plays openings on an agent whose target has 2 slots, for 4 s: priority 1 with 20 ms of work and a timeout of 1,000 ms, priority 2
/// with 15 ms and 800 ms, objectives of 200 ms.
class Burst
{
public:
    Burst(const BalancingSettings &balancing, quint32 seed)
        : m_agent(settings(balancing), m_format, start)
        , m_random(seed)
    {
        const std::vector<Route> list{{addressOf(1), {{service, 1}}, 1, 1000ms, 200ms}, {addressOf(2), {{service, 1}}, 2, 800ms, 200ms}};
        std::vector<DirectoryChange> changes = reading({target(1)});
        changes.emplace_back(RoutesPublished{101, std::make_shared<const RouteTable>(2, list, routes()->services(), 15s)});
        for (const DirectoryChange &change : changes) {
            m_agent.onDirectoryChange(start, change, m_actions);
        }
        call([this] { m_agent.onTargetProbed(m_now, true, m_actions); });
    }

    /// @p load is a multiple of the capacity of the target, @p urgentShare the share of priority 1 in the openings.
    std::array<Outcome, 2> play(double load, double urgentShare)
    {
        const double perSecond = load * 2 / (0.02 * urgentShare + 0.015 * (1 - urgentShare));
        std::exponential_distribution<double> gap(perSecond);
        quint16 port = 0;
        for (double second = 0; second < 4; second += gap(m_random)) {
            const int priority = m_unit(m_random) < urgentShare ? 1 : 2;
            const FlowKey key{{caller.address, ++port}, addressOf(priority)};
            m_events.emplace(start + 1s + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(second)), [this, key] {
                m_sentAt[key] = m_now;
                ++outcomeOf(key).sent;
                send(StreamMessageKind::Opening, callerSegment(SynFlag, 1, 0, 0, key));
            });
        }
        while (m_now < start + 7s) {
            m_now = std::min(m_agent.nextDeadline(), m_events.empty() ? TimePoint::max() : m_events.begin()->first);
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                m_events.extract(m_events.begin()).mapped()();
            }
            call([this] { m_agent.onTick(m_now, m_actions); });
        }
        return m_outcomes;
    }

private:
    static Endpoint addressOf(int priority)
    {
        return {route.address + static_cast<quint32>(priority), 443};
    }

    static bool isUrgent(const FlowKey &key)
    {
        return key.service == addressOf(1);
    }

    Outcome &outcomeOf(const FlowKey &key)
    {
        return m_outcomes.at(isUrgent(key) ? 0 : 1);
    }

    static StreamAgentSettings settings(const BalancingSettings &balancing)
    {
        StreamAgentSettings settings;
        settings.endpoint = agentAddress(1);
        settings.target = targetAddress(1);
        settings.service = service;
        settings.directory.routeHistory.isInitialStart = true;
        settings.balancing = balancing;
        return settings;
    }

    void send(StreamMessageKind kind, const Segment &segment)
    {
        StreamMessage message;
        message.kind = kind;
        message.configurationVersion = 2;
        message.service = service;
        message.target = target(1).id;
        message.incarnation = target(1).incarnation;
        message.packet = PlainFormat::encode(segment);
        call([this, &message] { m_agent.onMessage(m_now, message, m_actions); });
    }

    void answer(const Segment &segment)
    {
        call([this, &segment] { m_agent.onPacket(m_now, PlainFormat::encode(segment), m_actions); });
    }

    /// Runs the agent and plays its target and its callers.
    void call(const std::function<void()> &input)
    {
        input();
        const StreamActions actions = std::exchange(m_actions, {});
        for (const Segment &segment : segments<SendToStreamTarget>(actions)) {
            const FlowKey key = segment.flowFromCaller();
            if (segment.has(SynFlag)) {
                m_events.emplace(m_now, [this, key] { answer(targetSegment(SynFlag | AckFlag, 1000, 0, key)); });
            } else {
                m_waiting.push_back(key);
                work();
            }
        }
        for (const Segment &segment : segments<SendToStreamCaller>(actions)) {
            receive(segment);
        }
    }

    void receive(const Segment &segment)
    {
        const FlowKey key = segment.flowFromTarget();
        const Duration time = m_now - m_sentAt[key];
        Outcome &outcome = outcomeOf(key);
        if (time >= (isUrgent(key) ? 1000ms : 800ms)) {
            return;
        }
        if (segment.has(RstFlag)) {
            ++(time < 20ms ? outcome.refusedAtOnce : outcome.refusedLate);
        } else if (segment.has(SynFlag)) {
            m_events.emplace(m_now + 4ms, [this, key] { send(StreamMessageKind::Deliver, callerSegment(AckFlag, 2, 1001, 100, key)); });
        } else {
            ++(time <= 200ms ? outcome.inTime : outcome.late);
        }
    }

    void work()
    {
        while (m_busySlots < 2 && !m_waiting.empty()) {
            ++m_busySlots;
            const FlowKey key = m_waiting.front();
            m_waiting.pop_front();
            const double milliseconds = (isUrgent(key) ? 20 : 15) * (0.7 + 0.6 * m_unit(m_random));
            m_events.emplace(m_now + std::chrono::microseconds(static_cast<int>(milliseconds * 1000)), [this, key] {
                --m_busySlots;
                answer(targetSegment(AckFlag | FinFlag, 1001, 500, key));
                work();
            });
        }
    }

    PlainFormat m_format;
    StreamAgent m_agent;
    StreamActions m_actions;
    TimePoint m_now = start;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::unordered_map<FlowKey, TimePoint> m_sentAt;
    std::array<Outcome, 2> m_outcomes{};
    std::deque<FlowKey> m_waiting;
    int m_busySlots = 0;
    std::mt19937 m_random;
    std::uniform_real_distribution<double> m_unit;
};

}

// Guards against bursts in which callers get late answers or none and the less urgent priority gets nothing. Load: 1.5 and 2.4 times
// the capacity for 4 s, a fifth of it urgent as on a common day, or four fifths in a burst of the urgent kind.
TEST(OpeningOrderTest, BurstsAreAnsweredInTimeAndShared)
{
    for (const double load : {1.5, 2.4}) {
        for (const double urgentShare : {0.2, 0.8}) {
            for (const quint32 seed : {1, 2, 3}) {
                SCOPED_TRACE(testing::Message() << "load " << load << " urgent " << urgentShare << " seed " << seed);
                const std::array<Outcome, 2> before = Burst({}, seed).play(load, urgentShare);
                const std::array<Outcome, 2> after = Burst({false, false, true, 20}, seed).play(load, urgentShare);
                const int answered = after[0].inTime + after[1].inTime + after[0].late + after[1].late;
                EXPECT_GT(after[0].inTime + after[1].inTime, before[0].inTime + before[1].inTime);
                EXPECT_LT((after[0].late + after[1].late) * 10, answered);
                EXPECT_EQ(answered + after[0].refusedAtOnce + after[0].refusedLate + after[1].refusedAtOnce + after[1].refusedLate,
                          after[0].sent + after[1].sent);
                EXPECT_GE((after[1].inTime + after[1].late) * 100, answered * 18) << "minimum share of 20%, less at the ends of the burst";
                EXPECT_TRUE(urgentShare > 0.5 || after[0].inTime >= before[0].inTime) << "urgent openings alone fit into the capacity";
                const QString results =
                    describe(before[0]) + describe(before[1]) + QStringLiteral("with the settings: ") + describe(after[0]) + describe(after[1]);
                std::cout << "load " << load << " urgent " << urgentShare << " seed " << seed << ": " << results.toStdString() << '\n';
            }
        }
    }
}

// Guards against another order when the settings are off or no route has an objective: the rule of before is repeated here. Load: random
// arrivals and releases, with waits on both sides of the change from FIFO to LIFO.
RC_GTEST_PROP(OpeningOrderTest, OrderIsUnchangedWithoutSettingsOrObjectives, (bool ordersByObjective))
{
    OpeningOrder order;
    std::map<OpeningOrder::Position, TimePoint> plain;
    TimePoint now = start;
    for (quint64 sequence = 0; sequence < 200; ++sequence) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 8));
        if (plain.empty() || *rc::gen::inRange(0, 100) < 55) {
            const OpeningOrder::Position position{*rc::gen::inRange(0, 3), sequence};
            plain.emplace(position, now + 30ms);
            order.add(position, {now + 30ms, ordersByObjective ? TimePoint::max() : now + std::chrono::milliseconds(*rc::gen::inRange(10, 100))});
            continue;
        }
        auto expected = plain.begin();
        if (now >= expected->second) {
            expected = std::prev(plain.lower_bound({expected->first.first + 1, 0}));
        }
        RC_ASSERT(order.release({now, 15ms, {false, false, ordersByObjective, 0}}) == expected->first);
        plain.erase(expected);
    }
}
