#include "agent/targetlink.h"

#include <algorithm>

namespace Rattanpick
{

TargetLink::TargetLink(AgentContext &context, AgentConditions &conditions, OwnedFlows &flows, PacketPath &path)
    : m_context(context)
    , m_conditions(conditions)
    , m_flows(flows)
    , m_path(path)
{
}

void TargetLink::onReply(TimePoint now, const TargetReply &reply, AgentActions &actions)
{
    if (std::ranges::find(m_retired, reply.targetIncarnation) != m_retired.end()) {
        return;
    }
    m_conditions.targetSilenceDeadline = now + m_context.settings().targetSilenceLimit;
    if (m_incarnation == Incarnation{}) {
        m_incarnation = reply.targetIncarnation;
    } else if (m_incarnation != reply.targetIncarnation) {
        onReplaced(now, reply.targetIncarnation, actions);
    }
    const std::size_t before = actions.size();
    std::visit([&](const auto &body) { handle(now, body, actions); }, reply.body);
    m_flows.sendRetries(now, before, actions);
}

void TargetLink::onReplaced(TimePoint now, Incarnation incarnation, AgentActions &actions)
{
    m_retired.push_back(m_incarnation);
    if (m_retired.size() > retiredIncarnationLimit) {
        m_retired.pop_front();
    }
    m_incarnation = incarnation;
    m_conditions.isTargetDraining = false;
    m_flows.requests().refuseNewRequests(m_conditions.requestRefusal());
    actions.emplace_back(RecordEvent{EventNumber::TargetLost, {}, 0, QStringLiteral("the target process has been replaced")});
    // Outcomes of requests are reported before their flows are broken.
    const std::size_t before = actions.size();
    m_flows.requests().onTargetLost(now, actions);
    m_flows.sendRetries(now, before, actions);
    m_flows.breakAll(now, RefusalReason::TargetLost, QStringLiteral("the target process has been replaced"), actions);
}

void TargetLink::handle(TimePoint /*now*/, const TargetStatus &status, AgentActions &actions)
{
    if (status.isDraining == m_conditions.isTargetDraining) {
        return;
    }
    m_conditions.isTargetDraining = status.isDraining;
    const QString detail = status.isDraining ? QStringLiteral("target drains") : QStringLiteral("target accepts work again");
    actions.emplace_back(RecordEvent{EventNumber::TargetDraining, {}, 0, detail});
    m_flows.requests().refuseNewRequests(m_conditions.requestRefusal());
}

void TargetLink::handle(TimePoint now, const TargetFlowState &state, AgentActions &actions)
{
    OwnedFlow *flow = m_flows.table().find(state.flow, state.nonce);
    if (flow && state.isKnown) {
        flow->targetOpenDeadline.reset();
    } else if (flow && !flow->targetOpenDeadline) {
        m_flows.breakFlow(now, state.flow, RefusalReason::TargetLost, QStringLiteral("the target does not have the flow"), actions);
    }
    m_path.onTargetFlowState(now, state, actions);
}

void TargetLink::handle(TimePoint now, const TargetData &data, AgentActions &actions)
{
    if (OwnedFlow *flow = m_flows.table().find(data.flow, data.nonce)) {
        flow->idleDeadline = std::max(flow->idleDeadline, now + (flow->isUsed ? m_context.settings().idleFlowTimeout : Duration{}));
    } else if (m_flows.canRecover(data.flow, data.nonce)) {
        // The target has a flow that is not in this process, so the process was restarted.
        m_flows.recover(now, data.flow, data.nonce, actions);
    } else {
        actions.emplace_back(SendToTarget{TargetClose{data.flow, data.nonce}});
        return;
    }
    actions.emplace_back(SendToCaller{data.flow, Data{data.nonce, data.sequence, data.payload}});
}

void TargetLink::handle(TimePoint /*now*/, const TargetDataAck &ack, AgentActions &actions)
{
    if (m_flows.table().find(ack.flow, ack.nonce)) {
        actions.emplace_back(SendToCaller{ack.flow, DataAck{ack.nonce, ack.sequence}});
    }
}

void TargetLink::handle(TimePoint now, const TargetAnswerPart &part, AgentActions &actions)
{
    m_flows.requests().onTargetAnswerPart(now, part, actions);
}

void TargetLink::handle(TimePoint now, const TargetShed &shed, AgentActions &actions)
{
    m_flows.requests().onTargetShed(now, shed, actions);
}

void TargetLink::handle(TimePoint now, const TargetCancelled &cancelled, AgentActions &actions)
{
    m_flows.requests().onTargetCancelled(now, cancelled, actions);
}

}
