#include "proof/uncheckedagent.h"

#include "caller/callermessagecodec.h"

namespace Rattanpick::Proof
{

UncheckedAgent::UncheckedAgent(const TargetAgentSettings &settings, TimePoint now)
    : DesignAgent(settings, now)
    , m_settings(settings)
{
}

void UncheckedAgent::onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions)
{
    const auto *forward = std::get_if<Forward>(&message.body);
    const bool isForeign = message.header.service != m_settings.service || message.header.destination != m_settings.target;
    if (forward == nullptr || !isForeign) {
        DesignAgent::onPeerMessage(now, message, actions);
        return;
    }
    // Openings and data go straight to the target, as a forwarder that looks at addresses only would deliver them.
    const std::optional<CallerMessage> inner = decodeCallerMessage(forward->payload);
    if (!inner) {
        return;
    }
    if (std::holds_alternative<Open>(*inner)) {
        actions.push_back(SendToTarget{TargetOpen{forward->flow, nonceOf(*inner)}});
    } else if (const auto *data = std::get_if<Data>(&*inner)) {
        actions.push_back(SendToTarget{TargetData{forward->flow, data->nonce, data->sequence, data->payload}});
    }
}

}
