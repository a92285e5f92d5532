#pragma once

#include "agent/agentaction.h"
#include "agent/targetagentsettings.h"
#include "operators/configuration.h"

namespace Rattanpick::Proof
{

/// The decision object of an agent in a simulated run: the production TargetAgent or a baseline.
class AgentUnderTest
{
public:
    virtual ~AgentUnderTest() = default;

    /// Applies a configuration.
    virtual void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions) = 0;

    /// Handles a change of the instance list: it lists, or no longer lists, the agent of the target as live.
    virtual void setListedLive(TargetId target, bool isLive) = 0;

    /// Handles a message from another process.
    virtual void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions) = 0;

    /// Handles a message from the target.
    virtual void onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions) = 0;

    /// Handles timeouts.
    virtual void onTick(TimePoint now, AgentActions &actions) = 0;

    /// Begins a planned stop.
    virtual void beginStop(TimePoint now, AgentActions &actions) = 0;

    /// Whether the planned stop is complete.
    virtual bool isStopped() const = 0;
};

}
