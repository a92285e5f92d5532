#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/timepoint.h"
#include "stream/balancingsettings.h"
#include "stream/flowretentionsettings.h"
#include "stream/silentagentssettings.h"
#include "stream/targetdirectorysettings.h"

#include <QString>

#include <chrono>
#include <cstddef>

namespace Rattanpick
{

/// The settings of a StreamAgent.
struct StreamAgentSettings
{
    /// Endpoint at which this process receives messages.
    Endpoint endpoint;
    /// Endpoint at which the local target receives segments.
    Endpoint target;
    /// The service of the target.
    ServiceId service{};
    QString dataCentre;
    /// Time of day at which this process has started.
    std::chrono::sys_time<std::chrono::milliseconds> startTime{};
    /// A target that has started within this time of the process holds no flow from before: no earlier agent can have started beside it,
    /// offered it a flow and ended. After a loss of power both start within 150 ms of each other.
    Duration commonStart = 200ms;
    TargetDirectorySettings directory;
    BalancingSettings balancing{};
    /// Rate limit of a cold target: its requests per second times the factor, plus the slack.
    double coldFactor = 1.0;
    double coldSlack = 0;
    /// A target may have ended and started again unseen between two signs of life that are further apart. Above the time for which the limit of
    /// a cold target keeps all openings from it, ColdLimit::window; quicker restarts show by refused connections and lost flows.
    Duration restartTime = 1200ms;
    /// Minimum time for which a target counts as cold after its data centre has returned; the report of it may be late.
    Duration returnColdTime = 2s;
    /// Requests beyond its slots that a target is given, per slot. They keep the slots busy while the next opening
    /// makes its two round trips to the caller.
    double allowancePerSlot = 1.0;
    /// Agents without a free slot that forward an opening; the loads that balancers have are up to a second old. After
    /// that the opening is queued at the first agent. 0 disables service hunting.
    quint8 busyHops = 3;
    /// Candidates of an opening that is redirected because the configuration of its balancer is outdated.
    std::size_t redirectionLimit = 4;
    /// How long a caller may take from the answer to its opening until its request; two round trips.
    Duration requestDelay = 25ms;
    /// A request counts as in progress for at most this many service times, but for the minimum time at least. After a
    /// restart of the agent some requests are counted whose answers have already passed; they must not keep openings
    /// waiting.
    double requestServiceTimes = 8;
    Duration requestTimeMinimum = 200ms;
    /// Longest wait of an opening if the route sets no timeout.
    Duration waitLimit = 700ms;
    /// How long an opening may wait until the queue changes from FIFO to LIFO.
    Duration fifoWaitLimit = 30ms;
    /// Share of a route's timeout that an opening may wait; the rest is for the request itself.
    double waitShare = 0.5;
    /// The target is probed if it has sent nothing for this many service times, and for the minimum time, after a
    /// packet was sent to it. With a fixed 40 ms, targets that need 30 ms for a request were probed several times a
    /// second, which doubled the processor time of their agents.
    double silenceServiceTimes = 4;
    Duration silenceMinimum = 60ms;
    /// Interval of the connection probes of a silent or ended target.
    Duration probeInterval = 100ms;
    /// How long a lookup waits for the other agents.
    Duration lookupTimeout = 400ms;
    /// How long a lookup waits in each round for the answers of targets whose entries were removed for good; several round
    /// trips between data centres.
    Duration unlistedTimeout = 60ms;
    /// Rate limit and burst of the probes that lookups send. Each agent receives about as many from all others
    /// together, at about 70 us each; with more, no time was left for openings after a power loss. Lookups beyond the
    /// limit wait for their turn.
    double lookupProbesPerSecond = 1500;
    double lookupProbeBurst = 300;
    /// Maximum number of concurrent lookups.
    std::size_t lookupLimit = 512;
    /// Longest interval at which a caller repeats a packet that is not acknowledged. A packet that has waited for longer
    /// is outdated.
    Duration callerRepeatLimit = 1600ms;
    /// How long a lookup keeps its denials after its latest packet is outdated.
    Duration lookupRetention = 2400ms;
    /// Interval at which an unlisted target is announced. Below the time for which a process that has started waits for
    /// missing targets, so that one announcement may be lost.
    Duration announcementInterval = 900ms;
    /// After a denial by an agent that lacks entries which may return, time until the own directory contains those that
    /// have returned. Above the age at which a directory counts as outdated.
    Duration unsettledTime = 2500ms;
    /// Queries for the former services of the routes after a new version of the configuration, and their interval. Together
    /// above the time that peers take to read the version.
    std::size_t historyQueryAttempts = 8;
    Duration historyQueryInterval = 250ms;
    /// Interval of further queries, until the former services are known.
    Duration historyQueryLateInterval = 2s;
    SilentAgentsSettings silentAgents;
    FlowRetentionSettings retention;
    /// Maximum number of agents that may forward a packet.
    quint8 maximumHops = 8;
    /// Whether the target is asked about flows that it may hold from before the start of this process.
    bool adoptsUnknownFlows = true;
    /// How long a planned stop waits at most for a moment without requests in progress.
    Duration stopLimit = 2500ms;
    /// Minimum duration of a planned stop, so that balancers can send new flows elsewhere.
    Duration stopMinimum = 300ms;
    /// Interval of the load reports to balancers that have sent flows.
    Duration loadInterval = 1s;

    bool operator==(const StreamAgentSettings &) const = default;
};

}
