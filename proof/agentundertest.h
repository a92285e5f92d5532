#pragma once

#include "agent/agentaction.h"
#include "agent/targetagentsettings.h"
#include "operators/configuration.h"

namespace Rattanpick::Proof
{

/// The decisions beside a target as a run sees them: the design's TargetAgent or a baseline.
class AgentUnderTest
{
public:
    virtual ~AgentUnderTest() = default;

    /// Puts a configuration in force.
    virtual void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions) = 0;

    /// The instance list shows (or no longer shows) the agent of the target as live.
    virtual void setListedLive(TargetId target, bool isLive) = 0;

    /// A message from another process.
    virtual void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions) = 0;

    /// A message from the target.
    virtual void onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions) = 0;

    /// Passes time.
    virtual void onTick(TimePoint now, AgentActions &actions) = 0;

    /// Begins a planned stop.
    virtual void beginStop(TimePoint now, AgentActions &actions) = 0;

    /// Whether the planned stop is over.
    virtual bool isStopped() const = 0;
};

}
