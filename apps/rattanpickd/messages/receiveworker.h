#pragma once

#include "rattanpickd/messages/daemoncontext.h"

#include "fabric/peermessagecodec.h"

namespace Rattanpick
{

/// Receives from both sockets, rejects malformed or forged datagrams, and passes the rest to the decision worker.
class ReceiveWorker
{
public:
    explicit ReceiveWorker(DaemonContext &context);

    /// Works until the context ends.
    void run();

private:
    void receiveTunnel();
    void receiveFabric();
    void receiveLink();
    void push(std::variant<PeerMessage, InnerPacket, TargetReply> content);
    bool discardAfterPause();

    DaemonContext &m_context;
    PeerMessageCodec m_codec;
    TimePoint m_now;
};

}
