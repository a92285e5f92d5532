#include "proof/repeatingagent.h"

#include "caller/callermessagecodec.h"

namespace Rattanpick::Proof
{

void RepeatingAgent::onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions)
{
    const std::size_t before = actions.size();
    DesignAgent::onPeerMessage(now, message, actions);
    const auto *forward = std::get_if<Forward>(&message.body);
    if (recordDeliveries(actions, before) || forward == nullptr) {
        return;
    }
    const std::optional<CallerMessage> inner = decodeCallerMessage(forward->payload);
    const auto *request = inner ? std::get_if<Request>(&*inner) : nullptr;
    if (request != nullptr && m_delivered.contains({request->nonce, request->number})) {
        actions.push_back(SendToTarget{TargetRequest{forward->flow, request->nonce, request->number, request->remainingMilliseconds, request->body}});
    }
}

void RepeatingAgent::onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions)
{
    const std::size_t before = actions.size();
    DesignAgent::onTargetReply(now, reply, actions);
    recordDeliveries(actions, before);
}

void RepeatingAgent::onTick(TimePoint now, AgentActions &actions)
{
    const std::size_t before = actions.size();
    DesignAgent::onTick(now, actions);
    recordDeliveries(actions, before);
}

bool RepeatingAgent::recordDeliveries(const AgentActions &actions, std::size_t from)
{
    bool isAny = false;
    for (std::size_t index = from; index < actions.size(); ++index) {
        const auto *toTarget = std::get_if<SendToTarget>(&actions[index]);
        const auto *request = toTarget != nullptr ? std::get_if<TargetRequest>(&toTarget->command) : nullptr;
        if (request == nullptr) {
            continue;
        }
        m_delivered.emplace(request->nonce, request->number);
        isAny = true;
    }
    return isAny;
}

}
