#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QByteArray>
#include <QByteArrayView>
#include <QString>

#include <optional>
#include <span>
#include <vector>

namespace Rattanpick
{

/// A datagram in the buffers of the socket that received it.
struct ReceivedDatagram
{
    Endpoint sender;
    /// Valid until the next receive(); longer than UdpSocket::maximumSize if the datagram was cut.
    QByteArrayView bytes;
};

/// A datagram to send.
struct OutgoingDatagram
{
    Endpoint to;
    QByteArray bytes;
};

/// A bound UDP socket that never blocks: receives in batches, drops what cannot be sent at once.
class UdpSocket
{
public:
    /// The largest datagram received whole, in bytes.
    static constexpr qsizetype maximumSize = 8192;
    /// The most datagrams that one receive() ever gives.
    static constexpr std::size_t maximumBatch = 64;

    /// Builds a socket that is not bound and receives at most @p batch datagrams at a time.
    explicit UdpSocket(std::size_t batch = maximumBatch);
    ~UdpSocket();

    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /// Binds to the address (port 0 lets the system choose one); false with lastError() if it cannot be used.
    bool bind(const Endpoint &endpoint);

    /// Where the socket is bound.
    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    /// The datagrams at hand, at most a batch; empty if there is none.
    std::span<const ReceivedDatagram> receive();

    /// Sends a datagram; false if the system did not take it. May be called from another thread than receive().
    bool send(const Endpoint &to, QByteArrayView bytes) const;

    /// Sends datagrams in their order with as few system calls as it takes; how many the system took. May be called from
    /// another thread than receive().
    std::size_t send(std::span<const OutgoingDatagram> datagrams) const;

    /// The file descriptor for poll(); -1 if not bound.
    int descriptor() const
    {
        return m_descriptor;
    }

    /// Why the latest bind() failed.
    const QString &lastError() const
    {
        return m_lastError;
    }

    /// Waits until one of the sockets has a datagram, or for @p limit.
    static void waitForAny(std::span<UdpSocket *const> sockets, Duration limit);

private:
    std::size_t m_batch;
    int m_descriptor = -1;
    Endpoint m_endpoint;
    std::vector<char> m_buffer;
    std::vector<ReceivedDatagram> m_received;
    QString m_lastError;
};

}
