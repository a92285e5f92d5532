#pragma once

#include "agent/agentcontext.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Rattanpick
{

/// Mid-flow packets of unknown flows that wait for the target to say whether it holds the flow.
///
/// The agent may have been restarted, so its own ignorance proves nothing.
class TargetProbes
{
public:
    /// Packets kept for each flow; callers repeat what is dropped.
    static constexpr std::size_t packetsPerFlow = 4;

    /// Builds an empty collection.
    explicit TargetProbes(const TargetAgentSettings &settings);

    /// Keeps the packet and asks the target, unless it has been asked for this flow already.
    void probe(TimePoint now, const FlowKey &flow, quint64 nonce, const PeerMessage &packet, AgentActions &actions);

    /// The target has answered: the packets that waited, in their order.
    std::vector<PeerMessage> take(const FlowKey &flow, quint64 nonce);

    /// Packets whose flows the target has not answered for in time.
    std::vector<PeerMessage> takeExpired(TimePoint now);

private:
    struct Probe
    {
        TimePoint deadline;
        std::vector<PeerMessage> packets;
    };

    std::size_t m_capacity;
    Duration m_timeout;
    std::map<std::pair<FlowKey, quint64>, Probe> m_probes;
};

}
