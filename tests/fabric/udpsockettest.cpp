#include <fabric/udpsocket.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

constexpr Endpoint anyPort{0x7f000001, 0};

}

// Guards against datagrams that lose bytes, sender or order between two sockets, and against reading more than a batch.
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

// Guards against an oversized datagram that is cut and then taken for a whole one.
TEST(UdpSocketTest, OversizedDatagramShowsItsCut)
{
    UdpSocket sender;
    UdpSocket receiver;
    ASSERT_TRUE(sender.bind(anyPort) && receiver.bind(anyPort));
    ASSERT_TRUE(sender.send(receiver.endpoint(), QByteArray(UdpSocket::maximumSize + 500, 'x')));
    const auto received = receiver.receive();
    ASSERT_EQ(received.size(), 1U);
    EXPECT_GT(received[0].bytes.size(), UdpSocket::maximumSize);
}

// Guards against a taken address that goes unnoticed.
TEST(UdpSocketTest, ReportsATakenAddress)
{
    UdpSocket first;
    UdpSocket second;
    ASSERT_TRUE(first.bind(anyPort));
    EXPECT_FALSE(second.bind(first.endpoint()));
    EXPECT_FALSE(second.lastError().isEmpty());
}
