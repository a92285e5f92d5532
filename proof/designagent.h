#pragma once

#include "agent/targetagent.h"
#include "proof/agentundertest.h"

namespace Rattanpick::Proof
{

/// The production TargetAgent; most baselines derive from this class and replace one mechanism.
class DesignAgent : public AgentUnderTest
{
public:
    DesignAgent(const TargetAgentSettings &settings, TimePoint now);

    void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions) override;
    void setListedLive(TargetId target, bool isLive) override;
    void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions) override;
    void onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions) override;
    void onTick(TimePoint now, AgentActions &actions) override;
    void beginStop(TimePoint now, AgentActions &actions) override;
    bool isStopped() const override;

private:
    TargetAgent m_agent;
};

}
