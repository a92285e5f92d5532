#include "agent/flowtable.h"

#include "core/assertion.h"

namespace Rattanpick
{

// Open flows

OwnedFlow &FlowTable::add(const OwnedFlow &flow)
{
    RP_ASSERT(flow.nonce != 0);
    RP_ASSERT(flow.flowIncarnation != Incarnation{});
    const auto [place, isNew] = m_flows.emplace(flow.flow, flow);
    RP_ASSERT(isNew);
    return place->second;
}

OwnedFlow *FlowTable::find(const FlowKey &key)
{
    const auto found = m_flows.find(key);
    return found != m_flows.end() ? &found->second : nullptr;
}

OwnedFlow *FlowTable::find(const FlowKey &key, quint64 nonce)
{
    OwnedFlow *flow = find(key);
    return flow && flow->nonce == nonce ? flow : nullptr;
}

void FlowTable::end(const FlowKey &key, TimePoint retentionDeadline)
{
    const auto found = m_flows.find(key);
    RP_ASSERT(found != m_flows.end());
    recordEnd(key, found->second.nonce, retentionDeadline);
    m_flows.erase(found);
}

void FlowTable::discard(const FlowKey &key)
{
    const std::size_t removed = m_flows.erase(key);
    RP_ASSERT(removed == 1);
}

// Ended flows

void FlowTable::recordEnd(const FlowKey &key, quint64 nonce, TimePoint retentionDeadline)
{
    if (m_endedOrder.size() == maximumEnded) {
        expireEnded(m_endedOrder.front().deadline);
    }
    const quint64 identity = identityOf(key, nonce);
    m_endedOrder.push_back({identity, retentionDeadline});
    ++m_ended[identity];
}

bool FlowTable::hasEnded(const FlowKey &key, quint64 nonce) const
{
    return m_ended.contains(identityOf(key, nonce));
}

void FlowTable::expireEnded(TimePoint now)
{
    while (!m_endedOrder.empty() && m_endedOrder.front().deadline <= now) {
        const auto found = m_ended.find(m_endedOrder.front().identity);
        RP_ASSERT(found != m_ended.end());
        if (--found->second == 0) {
            m_ended.erase(found);
        }
        m_endedOrder.pop_front();
    }
}

}
