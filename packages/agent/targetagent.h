#pragma once

#include "agent/agentaction.h"
#include "agent/targetagentsettings.h"
#include "agent/targetagentstatus.h"
#include "core/timepoint.h"
#include "operators/configuration.h"

#include <memory>

namespace Rattanpick
{

/// Every decision of the process beside a target; it has no sockets, threads or clocks of its own.
///
/// Calls append what is to be done to @p actions. Times must not run backwards.
class TargetAgent
{
public:
    /// Builds an agent in recovery that has no configuration yet.
    TargetAgent(const TargetAgentSettings &settings, TimePoint now);
    ~TargetAgent();

    TargetAgent(const TargetAgent &) = delete;
    TargetAgent &operator=(const TargetAgent &) = delete;

    // Configuration and membership

    /// Puts an accepted configuration in force; versions must rise.
    void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions);

    /// The instance list shows (or no longer shows) the agent of the target as live.
    void setListedLive(TargetId target, bool isLive);

    /// The instance list shows this instance as leaving.
    void setLeaving(TimePoint now, bool isLeaving, AgentActions &actions);

    // Messages

    /// A message from a balancer or another agent.
    void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions);

    /// A message from the target beside this agent.
    void onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions);

    /// Passes time; to be called at least every 10 ms.
    void onTick(TimePoint now, AgentActions &actions);

    // Planned stop

    /// Declines new work and finishes what is in progress.
    void beginStop(TimePoint now, AgentActions &actions);

    /// Whether a planned stop has nothing left to finish.
    bool isStopped() const;

    /// Counters and state for operators.
    TargetAgentStatus status(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
