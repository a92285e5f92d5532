#pragma once

#include "agent/requesttablesettings.h"
#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/timepoint.h"

#include <QString>

#include <cstddef>

namespace Rattanpick
{

/// Parameters of a TargetAgent.
struct TargetAgentSettings
{
    /// Name of the target in the configuration document.
    QString targetName;
    /// Identifier of the target, derived from its name.
    TargetId target{};
    /// The service that the target serves.
    ServiceId service{};
    /// The data centre of this process.
    QString dataCentre;
    /// Where the tunnel socket of this process listens.
    Endpoint endpoint;
    /// Chosen at random when the process starts; never 0.
    Incarnation incarnation{};
    /// Seed of the random number generator.
    quint64 seed = 1;

    /// Parameters of the request table; slots and shares come from the configuration document.
    RequestTableSettings requests;
    /// Maximum number of openings being placed, and of flows whose packets wait for the target.
    std::size_t pendingOpenings = 4096;
    /// How long a home agent waits for replies of earlier home agents.
    Duration queryTimeout = 100ms;
    /// How long a candidate that acts as home agent waits for a first candidate that it suspects.
    Duration suspectQueryTimeout = 50ms;
    /// How long a home agent waits for a candidate before it repeats an offer.
    Duration offerTimeout = 20ms;
    /// Number of transmissions of an offer before it goes to the next candidate.
    int offerAttempts = 3;
    /// How long an opening waits for a later configuration.
    Duration configurationWait = 500ms;
    /// How long an accepted flow stays open without a first packet of its caller.
    Duration unusedFlowTimeout = 10s;
    /// How long a flow stays open without a packet in any direction.
    Duration idleFlowTimeout = 300s;
    /// How long the refusal of an opening is retained.
    Duration refusalRetention = 2s;
    /// Lifetime of a directory entry after its latest refresh; longer than the network partitions of several minutes
    /// that must be survived.
    Duration directoryRetention = 600s;
    /// Interval of the directory digests sent to the home agents.
    Duration directoryRefresh = 10s;
    /// Retransmission timeout of a Register batch.
    Duration registerTimeout = 100ms;
    /// Maximum duration of the recovery after a start.
    Duration recoveryTimeout = 1s;
    /// Interval of heartbeats.
    Duration heartbeatInterval = 500ms;
    /// A change of the load by this much, in permille, is advertised before the next regular heartbeat.
    int loadUpdatePermille = 50;
    /// Minimum time between a heartbeat and an early one that advertises a changed load.
    Duration loadUpdateInterval = 100ms;
    /// Number of missed heartbeats after which a peer is suspected.
    int missedHeartbeats = 3;
    /// Number of successors in the ring of the service that watch an agent.
    int heartbeatPeers = 3;
    /// A candidate is preferred to the home agent if its load is lower by more than this, in permille.
    int loadMarginPermille = 20;
    /// How long the end of a flow is recorded, so that a late opening does not open it again.
    Duration endedFlowRetention = 60s;
    /// How long an agent waits for its target to report whether it has a flow.
    Duration probeTimeout = 200ms;
    /// Retransmission timeout of an opening that the target has not confirmed.
    Duration targetOpenTimeout = 100ms;
    /// How long a target may be silent before its agent refuses new flows.
    Duration targetSilenceLimit = 2s;
    /// How long requests in progress may take to finish once the data centre is out.
    Duration fenceGrace = 3s;
    /// Minimum duration of a planned stop, so that other agents notice it.
    Duration minimumStopTime = 500ms;
    /// Minimum duration of the quarantine after a pause, since older messages may still be queued.
    Duration minimumQuarantine = 50ms;
    /// Maximum duration of the quarantine after a pause if no peer reports its version.
    Duration quarantineLimit = 1s;
    /// A gap between two steps of at least this length counts as a pause.
    Duration pauseLimit = 1s;

    bool operator==(const TargetAgentSettings &) const = default;
};

}
