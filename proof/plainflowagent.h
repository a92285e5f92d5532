#pragma once

#include "proof/agentundertest.h"

#include <map>

namespace Rattanpick::Proof
{

/// Baseline: an agent without home agents and directories, which owns only the flows that it has opened itself.
///
/// Forwards a packet of an unknown flow to the next hop of the packet, and resets the flow if no hop is left.
class PlainFlowAgent : public AgentUnderTest
{
public:
    explicit PlainFlowAgent(const TargetAgentSettings &settings);

    void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions) override;
    void setListedLive(TargetId target, bool isLive) override;
    void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions) override;
    void onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions) override;
    void onTick(TimePoint now, AgentActions &actions) override;
    void beginStop(TimePoint now, AgentActions &actions) override;
    bool isStopped() const override;

private:
    struct Flow
    {
        quint64 nonce = 0;
        Incarnation incarnation{};
    };

    void onCallerMessage(const FlowKey &flow, const CallerMessage &message, AgentActions &actions);
    void forwardToNextHop(const PeerMessage &message, const Forward &forward, const CallerMessage &inner, AgentActions &actions);

    TargetAgentSettings m_settings;
    ConfigurationVersion m_version;
    std::map<FlowKey, Flow> m_flows;
    quint64 m_nextIncarnation = 0;
    bool m_isStopping = false;
};

}
