#include <rattanpickd/messages/callworker.h>
#include <rattanpickd/messages/receiveworker.h>
#include <rattanpickd/messages/sendworker.h>

#include <gtest/gtest.h>

#include <thread>

using namespace Rattanpick;

namespace
{

constexpr Endpoint anyPort{0x7f000001, 0};
constexpr Duration waitLimit = 10s;

/// Polls until the condition holds; false if it does not within waitLimit.
template <typename Condition>
bool waitFor(Condition condition)
{
    const TimePoint limit = Clock::now() + waitLimit;
    while (!condition()) {
        if (Clock::now() > limit) {
            return false;
        }
        std::this_thread::yield();
    }
    return true;
}

DaemonSettings balancerSettings()
{
    DaemonSettings settings;
    settings.role = DaemonRole::Balancer;
    settings.fleetKey = {1, 2, 3};
    return settings;
}

qint64 dropped(const DaemonContext &context, DropReason reason)
{
    const QJsonObject counters = context.metrics.snapshot().value(QStringLiteral("counters")).toObject();
    return counters.value(QStringLiteral("dropped.") + QLatin1String(dropReasonName(reason))).toInteger();
}

}

// Guards against a rejected datagram that is not counted under its reason, or that ends the receive worker.
TEST(WorkersTest, RefusedDatagramsAreCountedAndTheNextOneIsReceived)
{
    DaemonContext context(balancerSettings(), {.process = QStringLiteral("test"), .wallClock = {}});
    UdpSocket sender;
    ASSERT_TRUE(context.tunnel.bind(anyPort) && context.roleSocket.bind(anyPort) && sender.bind(anyPort));
    ReceiveWorker worker(context);
    std::thread thread([&worker] { worker.run(); });

    const Endpoint tunnel = context.tunnel.endpoint();
    const PeerMessage notice{{}, VersionNotice{}};
    const QByteArray genuine = PeerMessageCodec(context.settings.fleetKey).encode(notice);
    sender.send(tunnel, QByteArray());
    sender.send(tunnel, genuine.chopped(1));
    sender.send(tunnel, genuine + "x");
    sender.send(tunnel, QByteArray(PeerMessageCodec::maximumSize + 1, 'x'));
    sender.send(tunnel, PeerMessageCodec({9}).encode(notice));
    sender.send(context.roleSocket.endpoint(), "no packet");
    sender.send(tunnel, genuine);
    std::optional<Received> received;
    EXPECT_TRUE(waitFor([&context, &received] {
        received = context.received.pop();
        return received.has_value();
    }));
    EXPECT_TRUE(waitFor([&context] { return dropped(context, DropReason::Malformed) == 2; }));
    context.isTerminating = true;
    thread.join();

    ASSERT_TRUE(received);
    EXPECT_EQ(std::get<PeerMessage>(received->content), notice);
    EXPECT_EQ(dropped(context, DropReason::Truncated), 2);
    EXPECT_EQ(dropped(context, DropReason::Oversized), 1);
    EXPECT_EQ(dropped(context, DropReason::Forged), 1);
}

// Guards against a worker that blocks on a full ring instead of dropping the element and counting the drop.
TEST(WorkersTest, FullRingDropsAndCounts)
{
    DaemonContext context(balancerSettings(), {.process = QStringLiteral("test"), .wallClock = {}});
    for (std::size_t count = 0; count < DaemonContext::controlRingSize + 10; ++count) {
        context.pushOrCount(context.versions, context.configurationWakeup, PeerVersion{});
    }
    EXPECT_EQ(dropped(context, DropReason::RingFull), 10);
}

// Guards against messages whose Lamport clock does not increase from one to the next.
TEST(WorkersTest, SentMessagesCarryARisingLamportClock)
{
    DaemonContext context(balancerSettings(), {.process = QStringLiteral("test"), .wallClock = {}});
    UdpSocket receiver;
    ASSERT_TRUE(context.tunnel.bind(anyPort) && context.roleSocket.bind(anyPort) && receiver.bind(anyPort));
    context.log.merge(40);
    for (int count = 0; count < 2; ++count) {
        context.decided.push(Outgoing{receiver.endpoint(), PeerMessage{{}, VersionNotice{}}});
    }
    context.isTerminating = true;
    SendWorker(context).run();
    const PeerMessageCodec codec(context.settings.fleetKey);
    const auto datagrams = receiver.receive();
    ASSERT_EQ(datagrams.size(), 2U);
    EXPECT_EQ(codec.decode(datagrams[0].bytes)->header.lamport, 41U);
    EXPECT_EQ(codec.decode(datagrams[1].bytes)->header.lamport, 42U);
}

// Guards against results of blocking calls that are lost or out of order, and against accepting more jobs than the
// rings hold.
TEST(WorkersTest, CallWorkerReturnsEveryResultInOrder)
{
    Wakeup owner;
    CallWorker<int, int> worker(
        [] {
            return [](const int &job) {
                return 2 * job;
            };
        },
        owner);
    int started = 0;
    while (started < 100 && worker.start(started)) {
        ++started;
    }
    EXPECT_LT(started, 100);
    for (int job = 0; job < started; ++job) {
        std::optional<int> result;
        ASSERT_TRUE(waitFor([&worker, &result] {
            result = worker.takeResult();
            return result.has_value();
        }));
        EXPECT_EQ(*result, 2 * job);
    }
    EXPECT_EQ(worker.pending(), 0);
}
