#include "agent/targetprobes.h"

#include <algorithm>
#include <iterator>

namespace Rattanpick
{

TargetProbes::TargetProbes(const TargetAgentSettings &settings)
    : m_capacity(settings.pendingOpenings)
    , m_timeout(settings.probeTimeout)
{
}

void TargetProbes::probe(TimePoint now, const FlowKey &flow, quint64 nonce, const PeerMessage &packet, AgentActions &actions)
{
    const std::pair key{flow, nonce};
    const auto found = m_probes.find(key);
    if (found == m_probes.end()) {
        if (m_probes.size() >= m_capacity) {
            actions.emplace_back(CountDrop{DropReason::QueueFull});
            return;
        }
        m_probes.emplace(key, Probe{now + m_timeout, {packet}});
        actions.emplace_back(SendToTarget{TargetProbe{flow, nonce}});
        return;
    }
    if (found->second.packets.size() >= packetsPerFlow) {
        actions.emplace_back(CountDrop{DropReason::QueueFull});
        return;
    }
    found->second.packets.push_back(packet);
}

std::vector<PeerMessage> TargetProbes::take(const FlowKey &flow, quint64 nonce)
{
    const auto found = m_probes.find({flow, nonce});
    if (found == m_probes.end()) {
        return {};
    }
    std::vector<PeerMessage> packets = std::move(found->second.packets);
    m_probes.erase(found);
    return packets;
}

std::vector<PeerMessage> TargetProbes::takeExpired(TimePoint now)
{
    std::vector<PeerMessage> late;
    for (auto place = m_probes.begin(); place != m_probes.end();) {
        if (now < place->second.deadline) {
            ++place;
            continue;
        }
        std::ranges::move(place->second.packets, std::back_inserter(late));
        place = m_probes.erase(place);
    }
    return late;
}

}
