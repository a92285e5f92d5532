#include "fabric/connectionprobe.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace Rattanpick
{

ConnectionProbe::~ConnectionProbe()
{
    close();
}

void ConnectionProbe::begin(const Endpoint &to)
{
    close();
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0) {
        return;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(to.address);
    address.sin_port = htons(to.port);
    // The result, including an immediate refusal, is read from the socket in takeResult().
    if (::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS && errno != ECONNREFUSED) {
        close();
    }
}

std::optional<bool> ConnectionProbe::takeResult()
{
    pollfd pollDescriptor{m_descriptor, POLLOUT, 0};
    if (m_descriptor < 0 || ::poll(&pollDescriptor, 1, 0) <= 0) {
        return std::nullopt;
    }
    int error = 0;
    socklen_t length = sizeof(error);
    const bool isRead = ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0;
    // After a refusal that connect() itself reported, the socket shows a hang-up without a pending error.
    const bool isHungUp = (pollDescriptor.revents & POLLHUP) != 0;
    close();
    if (!isRead || (error != 0 && error != ECONNREFUSED)) {
        return std::nullopt;
    }
    return error == 0 && !isHungUp;
}

void ConnectionProbe::close()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

}
