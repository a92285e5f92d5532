#include <fabric/udpsocket.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace Rattanpick;

namespace
{

constexpr Endpoint anyPort{0x7f000001, 0};

}

// Guards against datagrams that lose bytes, sender or order between two sockets, and against receiving more than a
// batch at a time.
TEST(UdpSocketTest, ReceivesInBatchesWithSenders)
{
    UdpSocket sender;
    UdpSocket receiver(2);
    ASSERT_TRUE(sender.bind(anyPort) && receiver.bind(anyPort));
    for (const char *text : {"one", "two", "three"}) {
        ASSERT_TRUE(sender.send(receiver.endpoint(), text));
    }
    const auto first = receiver.receive();
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first[0].bytes, QByteArrayView("one"));
    EXPECT_EQ(first[0].sender, sender.endpoint());
    const auto second = receiver.receive();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].bytes, QByteArrayView("three"));
    EXPECT_TRUE(receiver.receive().empty());
}

// Guards against batches that lose datagrams or their order, and against one invalid address that blocks the rest.
TEST(UdpSocketTest, SendsBatchesInOrder)
{
    UdpSocket sender;
    UdpSocket receiver;
    ASSERT_TRUE(sender.bind(anyPort) && receiver.bind(anyPort));
    std::vector<OutgoingDatagram> datagrams;
    for (int number = 0; number < 100; ++number) {
        // Sending to port 0 fails.
        datagrams.push_back({number == 70 ? anyPort : receiver.endpoint(), QByteArray::number(number)});
    }
    EXPECT_EQ(sender.send(datagrams), 99U);
    std::vector<int> received;
    for (auto batch = receiver.receive(); !batch.empty(); batch = receiver.receive()) {
        for (const ReceivedDatagram &datagram : batch) {
            received.push_back(datagram.bytes.toByteArray().toInt());
        }
    }
    ASSERT_EQ(received.size(), 99U);
    EXPECT_TRUE(std::ranges::is_sorted(received));
}

// Guards against an oversized datagram that is truncated and then processed as a complete one.
TEST(UdpSocketTest, TruncationOfOversizedDatagramIsDetectable)
{
    UdpSocket sender;
    UdpSocket receiver;
    ASSERT_TRUE(sender.bind(anyPort) && receiver.bind(anyPort));
    ASSERT_TRUE(sender.send(receiver.endpoint(), QByteArray(UdpSocket::maximumSize + 500, 'x')));
    const auto received = receiver.receive();
    ASSERT_EQ(received.size(), 1U);
    EXPECT_GT(received[0].bytes.size(), UdpSocket::maximumSize);
}

// Guards against a failure to report that an address is already in use.
TEST(UdpSocketTest, ReportsAddressInUse)
{
    UdpSocket first;
    UdpSocket second;
    ASSERT_TRUE(first.bind(anyPort));
    EXPECT_FALSE(second.bind(first.endpoint()));
    EXPECT_FALSE(second.lastError().isEmpty());
}
