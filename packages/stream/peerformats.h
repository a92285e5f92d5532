#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"
#include "stream/streammessage.h"

#include <unordered_map>

namespace Rattanpick
{

/// Which peers read messages that name an era.
///
/// Earlier releases do not, and discard them. So a message names its era only to a peer that has shown lately that it reads it; each process
/// shows it in its answers, in a field that earlier releases ignore.
class PeerFormats
{
public:
    /// Processes any message of a peer.
    void onMessage(TimePoint now, const StreamMessage &message);

    /// Whether the peer reads messages that name an era.
    bool readsEras(TimePoint now, const Endpoint &peer) const;

private:
    /// By peer, until when its latest message counts.
    std::unordered_map<Endpoint, TimePoint> m_deadlines;
};

}
