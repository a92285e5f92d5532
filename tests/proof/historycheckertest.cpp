#include <proof/historychecker.h>

#include <gtest/gtest.h>

#include <functional>
#include <ostream>

using namespace Rattanpick::Proof;
using namespace std::chrono_literals;

namespace
{

const QString target = QStringLiteral("target-a");
const QString process = QStringLiteral("balancer-1");
const QString caller = QStringLiteral("caller-1");
const QString operators = QStringLiteral("operators");
const QString dataCentre = QStringLiteral("escale");
constexpr quint64 nonce = 7;
constexpr DocumentIdentity firstDocument{1, 10};
constexpr DocumentIdentity secondDocument{2, 20};

/// A test case: writes a history for one point.
struct Case
{
    const char *name;
    int point;
    bool isViolated;
    std::function<void(History &)> write;
};

void PrintTo(const Case &value, std::ostream *stream)
{
    *stream << value.name;
}

void openFlow(History &history)
{
    history.append(0ms, target, TargetOpenedFlow{nonce, dataCentre});
    history.append(1ms, caller, FlowOpened{nonce});
}

void sendRequest(History &history, bool isIdempotent = false)
{
    history.append(10ms, caller, CallerSentRequest{nonce, 1, isIdempotent, 2s});
}

void run(History &history, VirtualTime begin, VirtualTime end, quint64 digest = 99)
{
    history.append(begin, target, TargetRanRequest{nonce, 1, digest});
    history.append(end, target, TargetEndedRequest{nonce, 1});
}

/// Publishes a second document that takes the data centre out and drains the target; the process applies it at 1 s.
void takeOut(History &history)
{
    history.append(0ms, process, ProcessBegan{});
    history.append(0ms, operators, DocumentPublished{firstDocument, {}, {}});
    history.append(0ms, process, ConfigurationInForce{firstDocument});
    history.append(900ms, operators, DocumentPublished{secondDocument, {dataCentre}, {target}});
    history.append(1s, process, ConfigurationInForce{secondDocument});
}

void becomeCold(History &history)
{
    history.append(0ms, target, TargetBecameCold{2, 0.1, 30s, false});
}

/// The target becomes cold without notice, then runs pairs of requests; the second of each pair is above its capacity.
void runOverlappingPairsOnSilentlyColdTarget(History &history, int pairs)
{
    history.append(0ms, target, TargetBecameCold{2, 0.1, 60s, true});
    for (int pair = 0; pair < pairs; ++pair) {
        const auto first = static_cast<quint64>(2 * pair);
        for (const quint64 number : {first, first + 1}) {
            history.append(5s + pair * 1s, target, TargetRanRequest{nonce, number, 0});
        }
        for (const quint64 number : {first, first + 1}) {
            history.append(5s + pair * 1s + 500ms, target, TargetEndedRequest{nonce, number});
        }
    }
}

const Case cases[] = {
    {"P1BrokenAfterPlannedChange",
     1,
     true,
     [](History &history) {
         openFlow(history);
         history.append(5s, caller, FlowBroken{nonce, QStringLiteral("reset")});
     }},
    {"P1BrokenWithItsTarget",
     1,
     false,
     [](History &history) {
         openFlow(history);
         history.append(4s, target, TargetTerminated{});
         history.append(5s, caller, FlowBroken{nonce, QStringLiteral("reset")});
     }},
    {"P1BrokenWithDataCentreTakenOut",
     1,
     false,
     [](History &history) {
         openFlow(history);
         history.append(2s, operators, DocumentPublished{secondDocument, {dataCentre}, {}});
         history.append(2s, process, ConfigurationInForce{secondDocument});
         history.append(5s, caller, FlowBroken{nonce, QStringLiteral("reset")});
     }},
    {"P2OtherService",
     2,
     true,
     [](History &history) {
         history.append(1s, target, PacketReachedTarget{QStringLiteral("tri"), QStringLiteral("comptoir"), dataCentre});
     }},
    {"P2OwnService",
     2,
     false,
     [](History &history) {
         history.append(1s, target, PacketReachedTarget{QStringLiteral("tri"), QStringLiteral("tri"), dataCentre});
     }},
    {"P3TwoRequestsOnColdTarget",
     3,
     true,
     [](History &history) {
         becomeCold(history);
         history.append(1s, target, TargetRanRequest{nonce, 1, 0});
         history.append(1s, target, TargetRanRequest{nonce, 2, 0});
     }},
    {"P3BusyAllTheTime",
     3,
     true,
     [](History &history) {
         becomeCold(history);
         for (int number = 0; number < 80; ++number) {
             history.append(number * 100ms, target, TargetRanRequest{nonce, static_cast<quint64>(number), 0});
             history.append((number + 1) * 100ms, target, TargetEndedRequest{nonce, static_cast<quint64>(number)});
         }
     }},
    {"P3BusyWithinShare",
     3,
     false,
     [](History &history) {
         becomeCold(history);
         for (int number = 0; number < 80; ++number) {
             history.append(number * 1s, target, TargetRanRequest{nonce, static_cast<quint64>(number), 0});
             history.append(number * 1s + 100ms, target, TargetEndedRequest{nonce, static_cast<quint64>(number)});
         }
     }},
    {"P3SilentChangeThatEightSlowRequestsShowed",
     3,
     true,
     [](History &history) {
         runOverlappingPairsOnSilentlyColdTarget(history, 9);
     }},
    {"P3SilentChangeThatMayBeUnnoticed",
     3,
     false,
     [](History &history) {
         runOverlappingPairsOnSilentlyColdTarget(history, 8);
     }},
    {"P3SilentChangeThatNoRequestShowed",
     3,
     false,
     [](History &history) {
         history.append(0ms, target, TargetBecameCold{2, 0.1, 60s, true});
         // Requests within the capacity of the cold target are as fast as on a warm one.
         for (int number = 0; number < 40; ++number) {
             history.append(number * 500ms, target, TargetRanRequest{nonce, static_cast<quint64>(number), 0});
             history.append(number * 500ms + 50ms, target, TargetEndedRequest{nonce, static_cast<quint64>(number)});
         }
         history.append(21s, target, TargetRanRequest{nonce, 100, 0});
         history.append(21s, target, TargetRanRequest{nonce, 101, 0});
     }},
    {"P4PacketAfterEffectTime",
     4,
     true,
     [](History &history) {
         takeOut(history);
         history.append(6s, target, PacketReachedTarget{QStringLiteral("tri"), QStringLiteral("tri"), dataCentre});
     }},
    {"P4PacketWithinEffectTime",
     4,
     false,
     [](History &history) {
         takeOut(history);
         history.append(4s, target, PacketReachedTarget{QStringLiteral("tri"), QStringLiteral("tri"), dataCentre});
     }},
    {"P4PacketAfterReturn",
     4,
     false,
     [](History &history) {
         takeOut(history);
         history.append(5s, operators, DocumentPublished{{3, 0}, {}, {}});
         history.append(5s, process, ConfigurationInForce{{3, 0}});
         history.append(6s, target, PacketReachedTarget{QStringLiteral("tri"), QStringLiteral("tri"), dataCentre});
     }},
    {"P5AnswerOfAnotherRequest",
     5,
     true,
     [](History &history) {
         sendRequest(history);
         run(history, 20ms, 40ms, 99);
         history.append(50ms, caller, RequestEnded{nonce, 1, Ending::Answered, 98});
     }},
    {"P5NeverEnded",
     5,
     true,
     [](History &history) {
         sendRequest(history);
         history.append(8s, caller, FlowClosed{nonce});
     }},
    {"P5OwnAnswer",
     5,
     false,
     [](History &history) {
         sendRequest(history);
         run(history, 20ms, 40ms, 99);
         history.append(50ms, caller, RequestEnded{nonce, 1, Ending::Answered, 99});
     }},
    {"P6FalseRefusal",
     6,
     true,
     [](History &history) {
         sendRequest(history);
         history.append(20ms, caller, RequestEnded{nonce, 1, Ending::NotRun, 0});
         run(history, 30ms, 40ms);
     }},
    {"P6TrueRefusal",
     6,
     false,
     [](History &history) {
         sendRequest(history);
         history.append(20ms, caller, RequestEnded{nonce, 1, Ending::NotRun, 0});
     }},
    {"P7RunTwice",
     7,
     true,
     [](History &history) {
         sendRequest(history);
         run(history, 20ms, 40ms);
         run(history, 50ms, 60ms);
     }},
    {"P7IdempotentRunTwice",
     7,
     false,
     [](History &history) {
         sendRequest(history, true);
         run(history, 20ms, 40ms);
         run(history, 50ms, 60ms);
     }},
    {"P8RequestAfterEffectTime",
     8,
     true,
     [](History &history) {
         takeOut(history);
         run(history, 6s, 7s);
     }},
    {"P8FlowWithinEffectTime",
     8,
     false,
     [](History &history) {
         takeOut(history);
         history.append(4s, target, TargetOpenedFlow{nonce, dataCentre});
     }},
    {"P9StopDuringRun",
     9,
     true,
     [](History &history) {
         sendRequest(history);
         history.append(20ms, target, TargetRanRequest{nonce, 1, 99});
         history.append(30ms, target, StopBegan{target});
         history.append(31ms, target, StopEnded{target});
         history.append(60ms, target, TargetEndedRequest{nonce, 1});
     }},
    {"P9RunNotAnswered",
     9,
     true,
     [](History &history) {
         sendRequest(history);
         history.append(20ms, target, TargetRanRequest{nonce, 1, 99});
         history.append(30ms, target, StopBegan{target});
         history.append(40ms, target, TargetEndedRequest{nonce, 1});
         history.append(50ms, target, StopEnded{target});
         history.append(60ms, caller, RequestEnded{nonce, 1, Ending::OutcomeUnknown, 0});
     }},
    {"P9RunFinished",
     9,
     false,
     [](History &history) {
         sendRequest(history);
         history.append(20ms, target, TargetRanRequest{nonce, 1, 99});
         history.append(30ms, target, StopBegan{target});
         history.append(40ms, target, TargetEndedRequest{nonce, 1});
         history.append(50ms, target, StopEnded{target});
         history.append(60ms, caller, RequestEnded{nonce, 1, Ending::Answered, 99});
     }},
    {"P10Reverts",
     10,
     true,
     [](History &history) {
         takeOut(history);
         history.append(2s, process, ConfigurationInForce{firstDocument});
     }},
    {"P10NotInForceEverywhere",
     10,
     true,
     [](History &history) {
         history.append(0ms, target, ProcessBegan{});
         takeOut(history);
         history.append(6s, caller, FlowClosed{nonce});
     }},
    {"P10InForceAfterDisturbance",
     10,
     false,
     [](History &history) {
         history.append(0ms, target, ProcessBegan{});
         history.append(0ms, target, DisturbanceBegan{});
         takeOut(history);
         history.append(8s, target, DisturbanceEnded{});
         history.append(11s, target, ConfigurationInForce{secondDocument});
         history.append(20s, caller, FlowClosed{nonce});
     }},
};

}

class HistoryCheckerTest : public testing::TestWithParam<Case>
{
};

// Guards against a checker that misses a violation, reports one in a valid history, or names no records.
TEST_P(HistoryCheckerTest, Decides)
{
    History history;
    GetParam().write(history);
    const std::vector<Violation> violations = HistoryChecker().checkPoint(history, GetParam().point);
    EXPECT_EQ(!violations.empty(), GetParam().isViolated);
    for (const Violation &violation : violations) {
        EXPECT_EQ(violation.point, GetParam().point);
        EXPECT_FALSE(violation.records.empty()) << describe(violation, history).toStdString();
    }
}

INSTANTIATE_TEST_SUITE_P(Points, HistoryCheckerTest, testing::ValuesIn(cases), [](const auto &parameter) { return std::string(parameter.param.name); });
