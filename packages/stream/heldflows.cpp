#include "stream/heldflows.h"

namespace Rattanpick
{

namespace
{

/// Limit in bytes for the first acknowledgement of an answer; as far as a caller accepts a reset.
constexpr quint32 acknowledgementWindow = 76'800;

}

HeldFlows::HeldFlows(FlowRetention &retention)
    : m_retention(retention)
{
}

HeldFlow *HeldFlows::find(const FlowKey &key)
{
    const auto found = m_flows.find(key);
    return found != m_flows.end() ? &found->second : nullptr;
}

const HeldFlow *HeldFlows::findConfirmed(const FlowKey &key)
{
    const HeldFlow *flow = find(key);
    return flow != nullptr && flow->state != HeldFlow::State::Unconfirmed ? flow : nullptr;
}

void HeldFlows::recordActivity(TimePoint now, const FlowKey &key, HeldFlow &flow)
{
    flow.latestActivity = now;
    if (!flow.isQueued) {
        flow.isQueued = true;
        m_checks.emplace_back(m_retention.nextCheck(now), key);
    }
}

std::vector<FlowKey> HeldFlows::takeExpired(TimePoint now)
{
    std::vector<FlowKey> expired;
    while (!m_checks.empty() && now >= m_checks.front().first) {
        const FlowKey key = m_checks.front().second;
        m_checks.pop_front();
        const HeldFlow *flow = find(key);
        if (flow == nullptr) {
            continue;
        }
        const bool isFinished = flow->hasCallerFinished && flow->hasTargetFinished;
        if (now < m_retention.expiry(flow->latestActivity, isFinished)) {
            m_checks.emplace_back(m_retention.nextCheck(now), key);
            continue;
        }
        if (!isFinished) {
            m_retention.recordUnknown(flow->latestActivity);
        }
        expired.push_back(key);
    }
    return expired;
}

bool HeldFlows::isOf(const HeldFlow &flow, const Segment &segment)
{
    if (!flow.position.fits(FlowPosition::fromCaller(segment))) {
        return false;
    }
    switch (flow.state) {
    case HeldFlow::State::Offered:
        // The target has not answered, so that the segment cannot belong to its flow unless it is a copy of the
        // opening.
        return false;
    case HeldFlow::State::Answered:
        return segment.acknowledgement - (flow.targetSequence + 1) <= acknowledgementWindow;
    default:
        return true;
    }
}

}
