#pragma once

#include "agent/agentcontext.h"

#include <optional>
#include <set>

namespace Rattanpick
{

/// Rebuilds the flow directory of a newly started process by requesting the entries of all owners.
class DirectoryRecovery
{
public:
    /// Builds a recovery that waits for begin(), which is called with the first configuration.
    explicit DirectoryRecovery(AgentContext &context);

    /// Requests the entries of all other agents of the service.
    void begin(TimePoint now, AgentActions &actions);

    /// An owner has sent its digest; its entries are complete if the directory has the same one.
    void onDigest(TargetId owner, const DirectoryDigest &digest, const DirectoryDigest &held);

    /// Repeats the request to owners that have not answered.
    void onTick(TimePoint now, AgentActions &actions);

    /// Whether openings cannot be placed yet, since another agent may already own the flow.
    bool isRecovering(TimePoint now) const;

    /// Whether a flow that has no entry in the directory may still have an owner.
    ///
    /// Owners that the configuration no longer contains cannot be asked; their periodic digests reveal them.
    bool isUncertain(TimePoint now) const;

private:
    AgentContext &m_context;
    bool m_hasBegun = false;
    std::set<TargetId> m_awaited;
    std::optional<TimePoint> m_recoveryDeadline;
    std::optional<TimePoint> m_certaintyDeadline;
    TimePoint m_pullDeadline;
};

}
