#include "rattanpickd/messages/sendworker.h"

#include "agent/targetmessagecodec.h"
#include "caller/callermessagecodec.h"

namespace Rattanpick
{

namespace
{

constexpr Duration waitLimit = 50ms;

}

SendWorker::SendWorker(DaemonContext &context)
    : m_context(context)
    , m_codec(context.settings.fleetKey)
    , m_sent(context.metrics.counter(QStringLiteral("datagrams.sent")))
    , m_unsent(context.metrics.counter(QStringLiteral("datagrams.unsent")))
{
}

void SendWorker::run()
{
    while (!m_context.isTerminating) {
        m_context.sendWakeup.arm();
        if (!sendPending()) {
            m_context.sendWakeup.wait(waitLimit);
        }
    }
    sendPending();
}

bool SendWorker::sendPending()
{
    bool hasSent = false;
    for (BoundedRing<Outgoing> *ring : {&m_context.notices, &m_context.decided}) {
        while (std::optional<Outgoing> outgoing = ring->pop()) {
            send(*outgoing);
            hasSent = true;
        }
    }
    return hasSent;
}

void SendWorker::send(Outgoing &outgoing)
{
    bool isSent = false;
    if (auto *message = std::get_if<PeerMessage>(&outgoing.content)) {
        message->header.lamport = m_context.log.tick();
        isSent = m_context.tunnel.send(outgoing.to, m_codec.encode(*message));
    } else if (const auto *answer = std::get_if<SendToCaller>(&outgoing.content)) {
        const InnerPacket packet{answer->flow, true, encodeCallerMessage(answer->message)};
        isSent = m_context.tunnel.send(answer->flow.caller, packet.encode());
    } else {
        isSent = m_context.roleSocket.send(outgoing.to, encodeTargetCommand(std::get<TargetCommand>(outgoing.content)));
    }
    (isSent ? m_sent : m_unsent).add();
}

}
