#pragma once

#include "proof/designagent.h"

namespace Rattanpick::Proof
{

/// Baseline: an agent that takes every packet sent to its address for its own.
class UncheckedAgent : public DesignAgent
{
public:
    /// Builds the agent.
    UncheckedAgent(const TargetAgentSettings &settings, TimePoint now);

    void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions) override;

private:
    TargetAgentSettings m_settings;
};

}
