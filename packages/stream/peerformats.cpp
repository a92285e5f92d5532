#include "stream/peerformats.h"

namespace Rattanpick
{

namespace
{

/// A process of an earlier release may take the place of a peer. Above the time between two messages of processes that work together.
constexpr Duration retention = 10s;
/// Peers above this number are removed once their messages are too old.
constexpr std::size_t pruneSize = 1024;

}

void PeerFormats::onMessage(TimePoint now, const StreamMessage &message)
{
    if (message.readsEras) {
        if (m_deadlines.size() > pruneSize) {
            std::erase_if(m_deadlines, [now](const auto &item) { return now >= item.second; });
        }
        m_deadlines[message.sender] = now + retention;
    } else if (message.kind > StreamMessageKind::Probe) {
        m_deadlines.erase(message.sender);
    }
}

bool PeerFormats::readsEras(TimePoint now, const Endpoint &peer) const
{
    const auto found = m_deadlines.find(peer);
    return found != m_deadlines.end() && now < found->second;
}

}
