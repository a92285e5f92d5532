#pragma once

#include "agent/agentaction.h"
#include "agent/targetagentsettings.h"
#include "agent/targetagentstatus.h"
#include "core/timepoint.h"
#include "operators/configuration.h"

#include <memory>

namespace Rattanpick
{

/// Decision logic of the process next to a target; it has no sockets, threads or clocks of its own.
///
/// Calls append the actions to be executed to @p actions. Times must not decrease between calls.
class TargetAgent
{
public:
    /// Builds an agent in recovery that has no configuration yet.
    TargetAgent(const TargetAgentSettings &settings, TimePoint now);
    ~TargetAgent();

    TargetAgent(const TargetAgent &) = delete;
    TargetAgent &operator=(const TargetAgent &) = delete;

    // Configuration and membership

    /// Puts an accepted configuration in force; its version must be higher than the current one.
    void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions);

    /// Records whether the instance list shows the agent of the target as live.
    void setListedLive(TargetId target, bool isLive);

    /// Sets whether the instance list shows this instance as leaving.
    void setLeaving(TimePoint now, bool isLeaving, AgentActions &actions);

    // Messages

    /// Handles a message from a balancer or another agent.
    void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions);

    /// Handles a message from this agent's target.
    void onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions);

    /// Processes timeouts; must be called at least every 10 ms.
    void onTick(TimePoint now, AgentActions &actions);

    // Planned stop

    /// Refuses new work from now on; requests in progress are completed.
    void beginStop(TimePoint now, AgentActions &actions);

    /// Whether a planned stop is complete.
    bool isStopped() const;

    /// Counters and state as shown to operators.
    TargetAgentStatus status(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
