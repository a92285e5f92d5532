#include <fabric/connectionprobe.h>

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Rattanpick;

namespace
{

std::optional<bool> probe(quint16 port)
{
    ConnectionProbe probe;
    probe.begin({0x7f000001, port});
    pollfd pollDescriptor{probe.descriptor(), POLLOUT, 0};
    ::poll(&pollDescriptor, 1, 2000);
    return probe.takeResult();
}

}

// Guards against reporting a listening process as ended, or an ended process as listening.
TEST(ConnectionProbeTest, DistinguishesListenersFromClosedPorts)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    ASSERT_EQ(::bind(listener, reinterpret_cast<sockaddr *>(&address), length), 0);
    ASSERT_EQ(::listen(listener, 4), 0);
    ASSERT_EQ(::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length), 0);
    const quint16 port = ntohs(address.sin_port);
    EXPECT_EQ(probe(port), true);
    ::close(listener);
    EXPECT_EQ(probe(port), false);
}

// Guards against a result that is returned twice or without an attempt.
TEST(ConnectionProbeTest, ResultsAreTakenOnce)
{
    ConnectionProbe probe;
    EXPECT_FALSE(probe.takeResult());
    EXPECT_EQ(probe.descriptor(), -1);
}
