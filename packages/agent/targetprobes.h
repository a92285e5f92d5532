#pragma once

#include "agent/agentcontext.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Rattanpick
{

/// Mid-flow packets of unknown flows that wait until the target has reported whether it has the flow.
///
/// A restarted agent has lost its flows, so a flow that is missing from its table may still be open at the target.
class TargetProbes
{
public:
    /// Maximum number of waiting packets for each flow; callers retransmit dropped ones.
    static constexpr std::size_t packetsPerFlow = 4;

    /// Builds an empty collection.
    explicit TargetProbes(const TargetAgentSettings &settings);

    /// Stores the packet, and asks the target unless a probe of this flow is already pending.
    void probe(TimePoint now, const FlowKey &flow, quint64 nonce, const PeerMessage &packet, AgentActions &actions);

    /// Removes and returns the waiting packets of the flow in order of arrival, after the target has answered.
    std::vector<PeerMessage> take(const FlowKey &flow, quint64 nonce);

    /// Removes and returns the packets whose probe has timed out.
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
