#include "fabric/udpsocket.h"

#include "core/assertion.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace Rattanpick
{

// QUdpSocket reads one datagram per system call into newly allocated memory and needs an event loop in its thread.
// recvmmsg() receives up to 64 datagrams per call into reused buffers.

namespace
{

/// One byte more than the largest datagram, to detect the truncation of a longer one.
constexpr std::size_t slotSize = UdpSocket::maximumSize + 1;
/// Buffers bursts of a few thousand packets while the receiving worker is not scheduled.
constexpr int receiveBufferBytes = 4 << 20;

sockaddr_in toSystem(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

Endpoint fromSystem(const sockaddr_in &address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

}

UdpSocket::UdpSocket(std::size_t batch)
    : m_batch(batch)
{
    RP_ASSERT(batch > 0 && batch <= maximumBatch);
}

UdpSocket::~UdpSocket()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

bool UdpSocket::bind(const Endpoint &endpoint)
{
    RP_ASSERT(m_descriptor < 0);
    m_descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = toSystem(endpoint);
    socklen_t length = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (m_descriptor < 0 || ::bind(m_descriptor, generic, length) != 0 || ::getsockname(m_descriptor, generic, &length) != 0) {
        m_lastError = QStringLiteral("cannot bind UDP socket to %1: %2").arg(endpoint.toString(), QString::fromLocal8Bit(std::strerror(errno)));
        return false;
    }
    // The system may grant a smaller buffer; the socket works with any size.
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    m_endpoint = fromSystem(address);
    m_buffer.resize(slotSize * m_batch);
    m_received.reserve(m_batch);
    return true;
}

std::span<const ReceivedDatagram> UdpSocket::receive()
{
    std::array<mmsghdr, maximumBatch> headers{};
    std::array<iovec, maximumBatch> slots{};
    std::array<sockaddr_in, maximumBatch> senders{};
    for (std::size_t index = 0; index < m_batch; ++index) {
        slots[index] = {m_buffer.data() + index * slotSize, slotSize};
        headers[index].msg_hdr.msg_name = &senders[index];
        headers[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        headers[index].msg_hdr.msg_iov = &slots[index];
        headers[index].msg_hdr.msg_iovlen = 1;
    }
    m_received.clear();
    const int count = ::recvmmsg(m_descriptor, headers.data(), static_cast<unsigned>(m_batch), MSG_DONTWAIT, nullptr);
    for (std::size_t index = 0; index < static_cast<std::size_t>(std::max(count, 0)); ++index) {
        const auto size = static_cast<qsizetype>(headers[index].msg_len);
        m_received.push_back({fromSystem(senders[index]), QByteArrayView(m_buffer.data() + index * slotSize, size)});
    }
    return m_received;
}

bool UdpSocket::send(const Endpoint &to, QByteArrayView bytes) const
{
    const sockaddr_in address = toSystem(to);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    return ::sendto(m_descriptor, bytes.data(), static_cast<std::size_t>(bytes.size()), MSG_DONTWAIT, generic, sizeof(address)) == bytes.size();
}

std::size_t UdpSocket::send(std::span<const OutgoingDatagram> datagrams) const
{
    std::array<mmsghdr, maximumBatch> headers;
    std::array<iovec, maximumBatch> parts;
    std::array<sockaddr_in, maximumBatch> receivers;
    std::size_t sent = 0;
    while (!datagrams.empty()) {
        const std::size_t count = std::min(datagrams.size(), maximumBatch);
        for (std::size_t index = 0; index < count; ++index) {
            const OutgoingDatagram &datagram = datagrams[index];
            receivers[index] = toSystem(datagram.to);
            parts[index] = {const_cast<char *>(datagram.bytes.constData()), static_cast<std::size_t>(datagram.bytes.size())};
            headers[index] = {};
            headers[index].msg_hdr.msg_name = &receivers[index];
            headers[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
            headers[index].msg_hdr.msg_iov = &parts[index];
            headers[index].msg_hdr.msg_iovlen = 1;
        }
        const int taken = ::sendmmsg(m_descriptor, headers.data(), static_cast<unsigned>(count), MSG_DONTWAIT);
        sent += static_cast<std::size_t>(std::max(taken, 0));
        // Skip a datagram that the system refuses, such as one to a port that was just closed, and send the rest.
        const bool isRefused = taken < 0 || static_cast<std::size_t>(taken) < count;
        datagrams = datagrams.subspan(static_cast<std::size_t>(std::max(taken, 0)) + (isRefused ? 1 : 0));
    }
    return sent;
}

void UdpSocket::waitForAny(std::span<UdpSocket *const> sockets, Duration limit)
{
    std::vector<pollfd> descriptors;
    for (const UdpSocket *socket : sockets) {
        descriptors.push_back({socket->descriptor(), POLLIN, 0});
    }
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
    ::poll(descriptors.data(), descriptors.size(), static_cast<int>(std::max<std::int64_t>(milliseconds, 0)));
}

}
