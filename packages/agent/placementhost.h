#pragma once

#include "agent/agentaction.h"
#include "core/timepoint.h"

namespace Rattanpick
{

/// Interface to the agent that OpeningPlacer calls with its decisions.
class PlacementHost
{
public:
    virtual ~PlacementHost() = default;

    /// The reason why this agent would refuse another flow at present; None if it would accept one.
    virtual RefusalReason admissionRefusal(TimePoint now) const = 0;

    /// Makes this agent the owner of the flow and notifies the caller.
    virtual void acceptFlow(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions) = 0;

    /// Records the owner that this home agent has chosen, and notifies the caller.
    virtual void confirmOwner(TimePoint now, const DirectoryEntry &entry, AgentActions &actions) = 0;

    /// Records an owner that another home agent has named; the owner itself answers the caller.
    virtual void recordOwner(TimePoint now, const DirectoryEntry &entry) = 0;
};

}
