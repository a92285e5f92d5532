#include "proof/designagent.h"

namespace Rattanpick::Proof
{

DesignAgent::DesignAgent(const TargetAgentSettings &settings, TimePoint now)
    : m_agent(settings, now)
{
}

void DesignAgent::applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions)
{
    m_agent.applyConfiguration(now, configuration, actions);
}

void DesignAgent::setListedLive(TargetId target, bool isLive)
{
    m_agent.setListedLive(target, isLive);
}

void DesignAgent::onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions)
{
    m_agent.onPeerMessage(now, message, actions);
}

void DesignAgent::onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions)
{
    m_agent.onTargetReply(now, reply, actions);
}

void DesignAgent::onTick(TimePoint now, AgentActions &actions)
{
    m_agent.onTick(now, actions);
}

void DesignAgent::beginStop(TimePoint now, AgentActions &actions)
{
    m_agent.beginStop(now, actions);
}

bool DesignAgent::isStopped() const
{
    return m_agent.isStopped();
}

}
