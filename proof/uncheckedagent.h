#pragma once

#include "proof/designagent.h"

namespace Rattanpick::Proof
{

/// Baseline: an agent that accepts every packet sent to its address without checking service and destination.
class UncheckedAgent : public DesignAgent
{
public:
    UncheckedAgent(const TargetAgentSettings &settings, TimePoint now);

    void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions) override;

private:
    TargetAgentSettings m_settings;
};

}
