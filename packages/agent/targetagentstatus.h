#pragma once

#include "core/configurationversion.h"

#include <QtGlobal>

#include <cstddef>

namespace Rattanpick
{

/// State of an agent as shown to operators.
struct TargetAgentStatus
{
    ConfigurationVersion version;
    bool isRecovering = false;
    bool isDraining = false;
    bool isStopping = false;
    bool isFenced = false;
    std::size_t ownedFlows = 0;
    std::size_t directoryEntries = 0;
    std::size_t unconfirmedEntries = 0;
    std::size_t pendingOpenings = 0;
    std::size_t queuedRequests = 0;
    std::size_t deliveredRequests = 0;
    quint16 loadPermille = 0;
    /// Permitted share of full load of the target, in permille.
    quint16 warmPermille = 0;

    bool operator==(const TargetAgentStatus &) const = default;
};

}
