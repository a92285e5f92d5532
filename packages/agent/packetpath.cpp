#include "agent/packetpath.h"

#include "caller/callermessagecodec.h"

#include <optional>
#include <vector>

namespace Rattanpick
{

namespace
{

bool namesAnotherOwner(const OwnedFlow &flow, const CallerMessage &message)
{
    const auto *request = std::get_if<Request>(&message);
    return request && request->flowIncarnation != flow.flowIncarnation;
}

}

PacketPath::PacketPath(AgentContext &context, const AgentConditions &conditions, const DirectoryRecovery &recovery, OwnedFlows &flows, OpeningPlacer &placer)
    : m_context(context)
    , m_conditions(conditions)
    , m_recovery(recovery)
    , m_flows(flows)
    , m_placer(placer)
    , m_probes(context.settings())
{
}

void PacketPath::onForward(TimePoint now, const PeerMessage &message, const Forward &forward, AgentActions &actions)
{
    DropReason drop = DropReason::None;
    if (m_conditions.isDataCentreOut) {
        drop = DropReason::DataCentreOut;
    } else if (m_conditions.isQuarantined()) {
        drop = DropReason::HoldingAfterPause;
    } else if (!m_context.configuration()) {
        drop = DropReason::NoConfiguration;
    } else if (message.header.hopCount >= maximumHops) {
        drop = DropReason::HopLimit;
    }
    if (drop != DropReason::None) {
        actions.emplace_back(CountDrop{drop});
        return;
    }
    const std::optional<CallerMessage> body = decodeCallerMessage(forward.payload);
    if (!body || nonceOf(*body) == 0) {
        actions.emplace_back(CountDrop{DropReason::Malformed});
        return;
    }
    Forward visited = forward;
    visited.hops.markVisited(m_context.settings().target);
    if (const auto *open = std::get_if<Open>(&*body)) {
        onOpen(now, message, visited, *open, actions);
    } else {
        onMidFlow(now, message, visited, *body, actions);
    }
}

void PacketPath::onTargetFlowState(TimePoint now, const TargetFlowState &state, AgentActions &actions)
{
    const std::vector<PeerMessage> waiting = m_probes.take(state.flow, state.nonce);
    if (waiting.empty()) {
        return;
    }
    if (!state.isKnown) {
        for (const PeerMessage &message : waiting) {
            forwardToNextHop(now, message, std::get<Forward>(message.body), false, actions);
        }
        return;
    }
    if (!m_flows.canRecover(state.flow, state.nonce)) {
        actions.emplace_back(SendToTarget{TargetClose{state.flow, state.nonce}});
        return;
    }
    if (!m_flows.table().find(state.flow, state.nonce)) {
        m_flows.recover(now, state.flow, state.nonce, actions);
    }
    for (const PeerMessage &message : waiting) {
        const auto &forward = std::get<Forward>(message.body);
        onMidFlow(now, message, forward, *decodeCallerMessage(forward.payload), actions);
    }
}

void PacketPath::onConfiguration(TimePoint now, AgentActions &actions)
{
    std::deque<std::pair<TimePoint, PeerMessage>> waitingOpenings;
    waitingOpenings.swap(m_waitingOpenings);
    for (const auto &[deadline, message] : waitingOpenings) {
        if (now >= deadline) {
            continue;
        }
        if (message.header.version > m_context.version()) {
            m_waitingOpenings.emplace_back(deadline, message);
            continue;
        }
        onForward(now, message, std::get<Forward>(message.body), actions);
    }
}

void PacketPath::onTick(TimePoint now, AgentActions &actions)
{
    for (const PeerMessage &message : m_probes.takeExpired(now)) {
        // A target that does not answer may still have the flow.
        forwardToNextHop(now, message, std::get<Forward>(message.body), true, actions);
    }
    while (!m_waitingOpenings.empty() && now >= m_waitingOpenings.front().first) {
        m_waitingOpenings.pop_front();
        actions.emplace_back(CountDrop{DropReason::NotPlaced});
    }
}

void PacketPath::onOpen(TimePoint now, const PeerMessage &message, const Forward &forward, const Open &open, AgentActions &actions)
{
    // 1. A decision that was made already is repeated under any version.
    if (repeatDecision(message, forward, open, actions)) {
        return;
    }

    // 2. An opening of a later version waits for that configuration and is never placed under the current one.
    if (message.header.version > m_context.version()) {
        if (m_waitingOpenings.size() >= waitingOpeningLimit) {
            actions.emplace_back(CountDrop{DropReason::QueueFull});
            return;
        }
        m_waitingOpenings.emplace_back(now + m_context.settings().configurationWait, message);
        return;
    }

    // 3. Only the home agent under this agent's configuration places the flow.
    const Hop homeAgent = m_context.homeAgentOf(forward.flow);
    if (homeAgent.target == TargetId{}) {
        actions.emplace_back(CountDrop{DropReason::NoCandidate});
        return;
    }
    if (homeAgent.target != m_context.settings().target) {
        forwardTo(homeAgent, message, forward, actions);
        return;
    }
    if (m_recovery.isRecovering(now)) {
        actions.emplace_back(CountDrop{DropReason::NotPlaced});
        return;
    }
    m_placer.place(now, forward.flow, open.nonce, actions);
}

bool PacketPath::repeatDecision(const PeerMessage &message, const Forward &forward, const Open &open, AgentActions &actions)
{
    if (m_flows.table().hasEnded(forward.flow, open.nonce)) {
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return true;
    }
    if (const OwnedFlow *flow = m_flows.table().find(forward.flow, open.nonce)) {
        actions.emplace_back(SendToCaller{flow->flow, Opened{open.nonce, flow->flowIncarnation}});
        return true;
    }
    if (const FlowDirectory::Record *record = m_flows.directory().find(forward.flow, open.nonce)) {
        forwardTo(record->entry.owner, message, forward, actions);
        return true;
    }
    const RefusalReason refusal = m_placer.recentRefusal(forward.flow, open.nonce);
    if (refusal != RefusalReason::None) {
        actions.emplace_back(SendToCaller{forward.flow, Refused{open.nonce, 0, refusal, Outcome::NotOpened}});
        return true;
    }
    return m_placer.isPending(forward.flow, open.nonce);
}

void PacketPath::onMidFlow(TimePoint now, const PeerMessage &message, const Forward &forward, const CallerMessage &body, AgentActions &actions)
{
    const quint64 nonce = nonceOf(body);
    OwnedFlow *flow = m_flows.table().find(forward.flow, nonce);
    if (flow && !flow->isUsed && namesAnotherOwner(*flow, body)) {
        // The caller was assigned another owner, so this agent's flow is left over from a withdrawn offer.
        m_flows.end(now, forward.flow, EventNumber::FlowClosed, QStringLiteral("another agent owns the flow"), actions);
        flow = nullptr;
    }
    if (flow) {
        deliver(now, *flow, body, actions);
        return;
    }
    if (m_flows.table().hasEnded(forward.flow, nonce)) {
        // The message to the caller about the end may have been lost.
        if (std::holds_alternative<Close>(body)) {
            actions.emplace_back(SendToCaller{forward.flow, Closed{nonce}});
        } else {
            actions.emplace_back(SendToCaller{forward.flow, Reset{nonce, RefusalReason::Forgotten}});
        }
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    const FlowDirectory::Record *record = m_flows.directory().find(forward.flow, nonce);
    if (record && record->entry.owner.target != m_context.settings().target) {
        forwardTo(record->entry.owner, message, forward, actions);
        return;
    }
    // The target is asked before the packet is forwarded, since a restart of this process loses its table of flows.
    PeerMessage kept = message;
    kept.body = forward;
    m_probes.probe(now, forward.flow, nonce, kept, actions);
}

void PacketPath::deliver(TimePoint now, OwnedFlow &flow, const CallerMessage &body, AgentActions &actions)
{
    m_flows.markUsed(now, flow);
    const FlowKey key = flow.flow;
    const std::size_t before = actions.size();
    if (const auto *data = std::get_if<Data>(&body)) {
        actions.emplace_back(SendToTarget{TargetData{key, data->nonce, data->sequence, data->payload}});
    } else if (const auto *dataAck = std::get_if<DataAck>(&body)) {
        actions.emplace_back(SendToTarget{TargetDataAck{key, dataAck->nonce, dataAck->sequence}});
    } else if (const auto *request = std::get_if<Request>(&body)) {
        m_flows.requests().onRequest(now, key, *request, actions);
    } else if (const auto *cancel = std::get_if<Cancel>(&body)) {
        m_flows.requests().onCancel(now, key, *cancel, actions);
    } else if (const auto *answerAck = std::get_if<AnswerAck>(&body)) {
        m_flows.requests().onAnswerAck(now, key, *answerAck, actions);
    } else if (std::holds_alternative<KeepAlive>(body)) {
        actions.emplace_back(SendToCaller{key, Rebound{flow.nonce, flow.flowIncarnation}});
    } else if (std::holds_alternative<Close>(body)) {
        actions.emplace_back(SendToCaller{key, Closed{flow.nonce}});
        m_flows.end(now, key, EventNumber::FlowClosed, QStringLiteral("closed by the caller"), actions);
    } else {
        // Messages of the kinds that only the system sends.
        actions.emplace_back(CountDrop{DropReason::Malformed});
    }
    m_flows.sendRetries(now, before, actions);
}

void PacketPath::forwardToNextHop(TimePoint now, const PeerMessage &message, Forward forward, bool isUncertain, AgentActions &actions)
{
    const bool wasUncertain = message.header.sender != TargetId{} && (message.header.flags & TunnelHeader::recoveryFlag) != 0;
    const bool isInconclusive = isUncertain || wasUncertain || m_recovery.isUncertain(now);

    // The hop list of a balancer with another version may lack candidates under this agent's tables.
    const HopList ownHops = m_context.tables().hopsOf(m_context.settings().service, forward.flow);
    for (std::size_t index = 0; index < ownHops.size(); ++index) {
        forward.hops.append(ownHops.at(index));
    }
    forward.hops.markVisited(m_context.settings().target);

    for (std::size_t index = 0; index < forward.hops.size(); ++index) {
        const Hop hop = forward.hops.at(index);
        if (forward.hops.isVisited(index) || m_context.peers().isSuspected(hop.target)) {
            continue;
        }
        const quint8 flags = isInconclusive ? TunnelHeader::recoveryFlag : 0;
        m_context.send(m_context.currentHop(hop), forward, actions, static_cast<quint8>(message.header.hopCount + 1), flags);
        return;
    }
    // Only a complete and conclusive lookup may declare a flow broken.
    if (isInconclusive || !forward.hops.allVisited() || message.header.version != m_context.version()) {
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    const std::optional<CallerMessage> body = decodeCallerMessage(forward.payload);
    RP_ASSERT(body.has_value());
    actions.emplace_back(SendToCaller{forward.flow, Reset{nonceOf(*body), RefusalReason::Forgotten}});
    AgentContext::record(EventNumber::FlowBroken, forward.flow, QStringLiteral("no agent or target has the flow"), actions);
}

void PacketPath::forwardTo(const Hop &hop, const PeerMessage &message, const Forward &forward, AgentActions &actions)
{
    if (message.header.hopCount + 1 >= maximumHops) {
        actions.emplace_back(CountDrop{DropReason::HopLimit});
        return;
    }
    m_context.send(m_context.currentHop(hop), forward, actions, static_cast<quint8>(message.header.hopCount + 1));
}

}
