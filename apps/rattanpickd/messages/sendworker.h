#pragma once

#include "rattanpickd/messages/daemoncontext.h"

#include "fabric/peermessagecodec.h"

namespace Rattanpick
{

/// Encodes and sends what the decisions and the configuration duty hand over.
class SendWorker
{
public:
    /// Builds the duty.
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
