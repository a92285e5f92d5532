#pragma once

#include "agent/agentaction.h"
#include "core/timepoint.h"

namespace Rattanpick
{

/// What the placement of openings needs from the agent.
class PlacementHost
{
public:
    virtual ~PlacementHost() = default;

    /// Why this agent would not own another flow now; None if it would.
    virtual RefusalReason admissionRefusal(TimePoint now) const = 0;

    /// Makes this agent the owner of the flow and tells the caller.
    virtual void acceptFlow(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions) = 0;

    /// Records the owner that the home agent has chosen and tells the caller.
    virtual void confirmOwner(TimePoint now, const DirectoryEntry &entry, AgentActions &actions) = 0;

    /// Records that an earlier home agent knows the owner; the caller learns it from there.
    virtual void recordOwner(TimePoint now, const DirectoryEntry &entry) = 0;
};

}
