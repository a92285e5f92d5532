#pragma once

#include "agent/agentcontext.h"

#include <optional>
#include <set>

namespace Rattanpick
{

/// Brings the flow directory of a process that has just started up to date by asking all owners.
class DirectoryRecovery
{
public:
    /// Builds a recovery that begins with the first configuration.
    explicit DirectoryRecovery(AgentContext &context);

    /// Asks all other agents of the service for their entries.
    void begin(TimePoint now, AgentActions &actions);

    /// An owner has told its digest; it has been heard in full if the directory agrees.
    void onDigest(TargetId owner, const DirectoryDigest &digest, const DirectoryDigest &held);

    /// Asks owners that have not answered again.
    void onTick(TimePoint now, AgentActions &actions);

    /// Whether openings cannot be placed yet, since an owner may know the flow.
    bool isRecovering(TimePoint now) const;

    /// Whether a flow that the directory does not name may still have an owner.
    ///
    /// Owners that the configuration no longer names cannot be asked; their regular digests tell of them.
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
