#include "rattanpickd/messages/receiveworker.h"

#include "agent/targetmessagecodec.h"

#include <array>

namespace Rattanpick
{

namespace
{

/// The longest wait for a packet; bounds the time to notice the end of the process.
constexpr Duration waitLimit = 50ms;
/// A longer gap between two steps means that the process was paused.
constexpr Duration pauseLimit = 1s;
/// Batches thrown away at most after a pause; bounds the work if packets keep coming.
constexpr int discardedBatches = 4096;

}

ReceiveWorker::ReceiveWorker(DaemonContext &context)
    : m_context(context)
    , m_codec(context.settings.fleetKey)
    , m_now(Clock::now())
{
}

void ReceiveWorker::run()
{
    const std::array<UdpSocket *, 2> sockets{&m_context.tunnel, &m_context.side};
    while (!m_context.isEnding) {
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
    for (const ReceivedDatagram &datagram : m_context.side.receive()) {
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
    for (const ReceivedDatagram &datagram : m_context.side.receive()) {
        // Only the target may speak for the target.
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
    // What waited in the sockets during a pause is old: versions in it prove nothing, and callers repeat the rest.
    for (UdpSocket *socket : {&m_context.tunnel, &m_context.side}) {
        for (int batch = 0; batch < discardedBatches; ++batch) {
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
