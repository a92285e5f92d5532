#pragma once

#include "rattanpickd/messages/daemoncontext.h"

#include "fabric/peermessagecodec.h"

namespace Rattanpick
{

/// Receives from both sockets, refuses what is malformed or forged, and hands the rest to the decisions.
class ReceiveWorker
{
public:
    /// Builds the duty.
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
