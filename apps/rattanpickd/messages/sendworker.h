#pragma once

#include "rattanpickd/messages/daemoncontext.h"

#include "fabric/peermessagecodec.h"

namespace Rattanpick
{

/// Encodes and sends the messages of the decision worker and of the configuration worker.
class SendWorker
{
public:
    explicit SendWorker(DaemonContext &context);

    /// Works until the context ends and the rings are empty.
    void run();

private:
    bool sendPending();
    void send(Outgoing &outgoing);

    DaemonContext &m_context;
    PeerMessageCodec m_codec;
    Counter &m_sent;
    Counter &m_unsent;
};

}
