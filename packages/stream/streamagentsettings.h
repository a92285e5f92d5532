#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/timepoint.h"
#include "stream/targetdirectorysettings.h"

#include <QString>

#include <cstddef>

namespace Rattanpick
{

/// What a StreamAgent is built from.
struct StreamAgentSettings
{
    /// Where this process receives messages.
    Endpoint endpoint;
    /// Where the target beside this process receives segments.
    Endpoint target;
    /// The service of the target.
    ServiceId service{};
    QString dataCentre;
    TargetDirectorySettings directory;
    /// Cold targets bear this factor times their requests per second, and the slack on top.
    double coldFactor = 1.0;
    double coldSlack = 0;
    /// A target whose data centre has returned counts as cold for this long at least: its report may be late.
    Duration returnColdTime = 2s;
    /// How long a search for the target of a flow waits for the other agents.
    Duration searchTimeout = 400ms;
    /// Packets of one flow that wait for its target to be found.
    std::size_t searchQueueLimit = 8;
    /// Searches at the same time.
    std::size_t searchLimit = 512;
    /// How long a flow is kept after both ends have finished, for repeated last segments.
    Duration closingMemory = 3s;
    /// Agents that a packet may pass.
    quint8 maximumHops = 8;
    /// Time after which the agent knows every flow that its target holds: an older silent flow is idle.
    Duration adoptionTime = 15s;
    /// The longest time that a planned stop waits for a moment without a request in progress.
    Duration stopLimit = 2500ms;
    /// The shortest time of a planned stop, for balancers to send new flows elsewhere.
    Duration stopMinimum = 300ms;
    /// Time between two load reports to balancers that have sent flows.
    Duration loadInterval = 1s;

    bool operator==(const StreamAgentSettings &) const = default;
};

}
