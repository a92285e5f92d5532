#include "proof/plainflowagent.h"

#include "caller/callermessagecodec.h"

namespace Rattanpick::Proof
{

PlainFlowAgent::PlainFlowAgent(const TargetAgentSettings &settings)
    : m_settings(settings)
    , m_nextIncarnation(static_cast<quint64>(settings.incarnation))
{
}

void PlainFlowAgent::applyConfiguration(TimePoint, const ConfigurationPointer &configuration, AgentActions &)
{
    m_version = configuration->version();
}

void PlainFlowAgent::setListedLive(TargetId, bool)
{
}

void PlainFlowAgent::onPeerMessage(TimePoint, const PeerMessage &message, AgentActions &actions)
{
    const auto *forward = std::get_if<Forward>(&message.body);
    const std::optional<CallerMessage> inner = forward != nullptr ? decodeCallerMessage(forward->payload) : std::nullopt;
    if (!inner) {
        return;
    }
    const auto known = m_flows.find(forward->flow);
    const bool isKnown = known != m_flows.end() && known->second.nonce == nonceOf(*inner);
    if (isKnown || std::holds_alternative<Open>(*inner)) {
        onCallerMessage(forward->flow, *inner, actions);
        return;
    }
    forwardToNextHop(message, *forward, *inner, actions);
}

void PlainFlowAgent::onCallerMessage(const FlowKey &flow, const CallerMessage &message, AgentActions &actions)
{
    if (const auto *open = std::get_if<Open>(&message)) {
        Flow &entry = m_flows[flow];
        if (entry.nonce != open->nonce) {
            entry = Flow{open->nonce, Incarnation{++m_nextIncarnation}};
            actions.push_back(SendToTarget{TargetOpen{flow, open->nonce}});
        }
        actions.push_back(SendToCaller{flow, Opened{open->nonce, entry.incarnation}});
    } else if (const auto *data = std::get_if<Data>(&message)) {
        actions.push_back(SendToTarget{TargetData{flow, data->nonce, data->sequence, data->payload}});
    } else if (const auto *keepAlive = std::get_if<KeepAlive>(&message)) {
        actions.push_back(SendToCaller{flow, Rebound{keepAlive->nonce, m_flows[flow].incarnation}});
    } else if (const auto *request = std::get_if<Request>(&message)) {
        actions.push_back(SendToTarget{TargetRequest{flow, request->nonce, request->number, request->remainingMilliseconds, request->body}});
    } else if (const auto *close = std::get_if<Close>(&message)) {
        actions.push_back(SendToTarget{TargetClose{flow, close->nonce}});
        actions.push_back(SendToCaller{flow, Closed{close->nonce}});
        m_flows.erase(flow);
    }
}

void PlainFlowAgent::forwardToNextHop(const PeerMessage &message, const Forward &forward, const CallerMessage &inner, AgentActions &actions)
{
    PeerMessage next = message;
    Forward body = forward;
    body.hops.markVisited(m_settings.target);
    for (std::size_t index = 0; index < body.hops.size(); ++index) {
        if (body.hops.isVisited(index)) {
            continue;
        }
        next.header.destination = body.hops.at(index).target;
        next.header.destinationIncarnation = Incarnation{};
        next.header.sender = m_settings.target;
        next.header.senderEndpoint = m_settings.endpoint;
        next.header.senderIncarnation = m_settings.incarnation;
        next.header.version = m_version;
        ++next.header.hopCount;
        next.body = body;
        actions.push_back(SendToPeer{body.hops.at(index).endpoint, next});
        return;
    }
    actions.push_back(SendToCaller{forward.flow, Reset{nonceOf(inner), RefusalReason::None}});
}

void PlainFlowAgent::onTargetReply(TimePoint, const TargetReply &reply, AgentActions &actions)
{
    if (const auto *ack = std::get_if<TargetDataAck>(&reply.body)) {
        actions.push_back(SendToCaller{ack->flow, DataAck{ack->nonce, ack->sequence}});
    } else if (const auto *part = std::get_if<TargetAnswerPart>(&reply.body)) {
        actions.push_back(SendToCaller{part->flow, AnswerPart{part->nonce, part->number, part->part, part->parts, part->body}});
    } else if (const auto *shed = std::get_if<TargetShed>(&reply.body)) {
        actions.push_back(SendToCaller{shed->flow, Refused{shed->nonce, shed->number, RefusalReason::Overloaded, Outcome::NotRun}});
    }
}

void PlainFlowAgent::onTick(TimePoint, AgentActions &)
{
}

void PlainFlowAgent::beginStop(TimePoint, AgentActions &)
{
    m_isStopping = true;
}

bool PlainFlowAgent::isStopped() const
{
    return m_isStopping;
}

}
