#pragma once

#include "agent/requesttablesettings.h"
#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/timepoint.h"

#include <QString>

#include <cstddef>

namespace Rattanpick
{

/// What a TargetAgent is built from; the defaults are those of the design page.
struct TargetAgentSettings
{
    /// Name of the target in the document.
    QString targetName;
    /// Identifier of the target, from its name.
    TargetId target{};
    /// The service that the target serves.
    ServiceId service{};
    /// The data centre of this process.
    QString dataCentre;
    /// Where the tunnel socket of this process listens.
    Endpoint endpoint;
    /// Chosen at random by the process when it starts; never 0.
    Incarnation incarnation{};
    /// Seed of the random numbers that the decisions draw.
    quint64 seed = 1;

    /// What the table of requests is built from; slots and shares come from the document.
    RequestTableSettings requests;
    /// The most openings that wait for an earlier home agent, a candidate or a configuration.
    std::size_t pendingOpenings = 4096;
    /// How long a home agent waits for the answers of earlier home agents.
    Duration queryTimeout = 100ms;
    /// How long a second candidate waits for a first candidate that it suspects.
    Duration suspectQueryTimeout = 50ms;
    /// How long a home agent waits for a candidate before it repeats an offer.
    Duration offerTimeout = 20ms;
    /// How often an offer is sent before the next candidate is asked.
    int offerAttempts = 3;
    /// How long an opening waits for a later configuration.
    Duration configurationWait = 500ms;
    /// How long an accepted flow may stay without a packet of its caller.
    Duration unusedFlowTimeout = 10s;
    /// How long an open flow may stay without a packet in any direction.
    Duration idleFlowTimeout = 300s;
    /// How long the refusal of an opening is remembered.
    Duration refusalRetention = 2s;
    /// How long a directory entry lives after its latest refresh; longer than the partitions of some minutes that are expected.
    Duration directoryRetention = 600s;
    /// Time between two refreshes of the directory at the home agents.
    Duration directoryRefresh = 10s;
    /// Time before a Register batch is sent again.
    Duration registerTimeout = 100ms;
    /// The longest recovery after a start.
    Duration recoveryTimeout = 1s;
    /// Time between heartbeats.
    Duration heartbeatInterval = 500ms;
    /// A load that has changed by this much, in permille, is told before the next heartbeat.
    int loadUpdatePermille = 50;
    /// The shortest time between two heartbeats because of the load.
    Duration loadUpdateInterval = 100ms;
    /// How many heartbeats must be missed before a peer is suspected.
    int missedHeartbeats = 3;
    /// How many following agents of the service get heartbeats.
    int heartbeatPeers = 3;
    /// A candidate gets a flow instead of the home agent if its load is lower by more than this, in permille.
    int loadMarginPermille = 20;
    /// How long the end of a flow is remembered, so that a late opening does not open it again.
    Duration endedFlowRetention = 60s;
    /// How long an agent waits for its target to say whether it holds a flow.
    Duration probeTimeout = 200ms;
    /// How long an opening at the target stays unconfirmed before it is sent again.
    Duration targetOpenTimeout = 100ms;
    /// How long a target may be silent before its agent declines new flows.
    Duration targetSilenceLimit = 2s;
    /// The longest time that requests in progress get to end once the data centre is out.
    Duration fenceGrace = 3s;
    /// The shortest time between the begin of a planned stop and its end, for others to notice it.
    Duration minimumStopTime = 500ms;
    /// Packets are refused at least this long after a pause, since older messages may still be queued.
    Duration minimumQuarantine = 50ms;
    /// Packets are refused at most this long after a pause while no peer tells its version.
    Duration quarantineLimit = 1s;
    /// The longest gap between two steps that is not a pause.
    Duration pauseLimit = 1s;

    bool operator==(const TargetAgentSettings &) const = default;
};

}
