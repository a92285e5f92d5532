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
    /// Valid until the next receive(); longer than UdpSocket::maximumSize if the datagram was truncated.
    QByteArrayView bytes;
};

/// A datagram to send.
struct OutgoingDatagram
{
    Endpoint to;
    QByteArray bytes;
};

/// A non-blocking UDP socket that receives in batches and drops datagrams that cannot be sent immediately.
class UdpSocket
{
public:
    /// Size of the largest datagram that is received without truncation, in bytes.
    static constexpr qsizetype maximumSize = 8192;
    /// Maximum number of datagrams that one receive() returns.
    static constexpr std::size_t maximumBatch = 64;

    /// Builds an unbound socket that receives at most @p batch datagrams at a time.
    explicit UdpSocket(std::size_t batch = maximumBatch);
    ~UdpSocket();

    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /// Binds to the address (port 0 lets the system choose one); on failure returns false and sets lastError().
    bool bind(const Endpoint &endpoint);

    /// The endpoint that the socket is bound to.
    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    /// Receives the pending datagrams, at most one batch; empty if there are none.
    std::span<const ReceivedDatagram> receive();

    /// Sends a datagram; false if the system did not accept it. May be called from another thread than receive().
    bool send(const Endpoint &to, QByteArrayView bytes) const;

    /// Sends datagrams in order with as few system calls as possible; returns how many the system accepted. May be
    /// called from another thread than receive().
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

    /// Waits until one of the sockets has a pending datagram, but at most for @p limit.
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
