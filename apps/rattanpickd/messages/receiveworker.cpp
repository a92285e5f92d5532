#include "rattanpickd/messages/receiveworker.h"

#include "agent/targetmessagecodec.h"

#include <array>

namespace Rattanpick
{

namespace
{

/// The longest wait for a packet; bounds the delay until the end of the process is noticed.
constexpr Duration waitLimit = 50ms;
/// A longer gap between two iterations means that the process was paused.
constexpr Duration pauseLimit = 1s;
/// The most batches discarded after a pause; bounds the work if packets keep arriving.
constexpr int maximumDiscardedBatches = 4096;

}

ReceiveWorker::ReceiveWorker(DaemonContext &context)
    : m_context(context)
    , m_codec(context.settings.fleetKey)
    , m_now(Clock::now())
{
}

void ReceiveWorker::run()
{
    const std::array<UdpSocket *, 2> sockets{&m_context.tunnel, &m_context.roleSocket};
    while (!m_context.isTerminating) {
        UdpSocket::waitForAny(sockets, waitLimit);
        if (discardAfterPause()) {
            continue;
        }
        receiveTunnel();
        m_context.settings.role == DaemonRole::Balancer ? receiveFabric() : receiveLink();
    }
}

void ReceiveWorker::receiveTunnel()
{
    for (const ReceivedDatagram &datagram : m_context.tunnel.receive()) {
        std::optional<PeerMessage> message = m_codec.decode(datagram.bytes);
        if (!message) {
            m_context.drops.count(m_codec.lastDrop());
            continue;
        }
        m_context.log.merge(message->header.lamport);
        push(std::move(*message));
    }
}

void ReceiveWorker::receiveFabric()
{
    for (const ReceivedDatagram &datagram : m_context.roleSocket.receive()) {
        if (datagram.bytes.size() > UdpSocket::maximumSize) {
            m_context.drops.count(DropReason::Oversized);
            continue;
        }
        std::optional<InnerPacket> packet = InnerPacket::fromCaller(datagram.bytes);
        if (!packet) {
            m_context.drops.count(DropReason::Malformed);
            continue;
        }
        push(std::move(*packet));
    }
}

void ReceiveWorker::receiveLink()
{
    for (const ReceivedDatagram &datagram : m_context.roleSocket.receive()) {
        // Replies are accepted only from the address of the target.
        if (datagram.sender != m_context.settings.targetLink) {
            m_context.drops.count(DropReason::Forged);
            continue;
        }
        std::optional<TargetReply> reply = decodeTargetReply(datagram.bytes);
        if (!reply) {
            m_context.drops.count(DropReason::Malformed);
            continue;
        }
        push(std::move(*reply));
    }
}

void ReceiveWorker::push(std::variant<PeerMessage, InnerPacket, TargetReply> content)
{
    m_context.pushOrCount(m_context.received, m_context.decisionWakeup, Received{m_now, std::move(content)});
}

bool ReceiveWorker::discardAfterPause()
{
    const TimePoint before = m_now;
    m_now = Clock::now();
    if (m_now - before <= pauseLimit) {
        return false;
    }
    // Datagrams that were queued during a pause are outdated: their versions are no evidence of the current one, and
    // callers retransmit the rest.
    for (UdpSocket *socket : {&m_context.tunnel, &m_context.roleSocket}) {
        for (int batch = 0; batch < maximumDiscardedBatches; ++batch) {
            const std::size_t count = socket->receive().size();
            if (count == 0) {
                break;
            }
            for (std::size_t index = 0; index < count; ++index) {
                m_context.drops.count(DropReason::HoldingAfterPause);
            }
        }
    }
    m_now = Clock::now();
    return true;
}

}
