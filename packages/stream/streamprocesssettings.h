#pragma once

#include "core/endpoint.h"
#include "core/event.h"
#include "core/timepoint.h"
#include "operators/daemonsettings.h"
#include "stream/balancingsettings.h"

#include <QList>
#include <QString>

namespace Rattanpick
{

/// The settings file of a process that forwards byte-stream flows, for both roles.
struct StreamProcessSettings
{
    // Both roles

    /// Name of this process in events and logs.
    QString name;
    DaemonRole role = DaemonRole::Balancer;
    QString dataCentre;
    /// Address that the sockets for our own processes are bound to if the network translates addresses; 0 to bind them
    /// to the addresses at which they are reached.
    quint32 bindAddress = 0;
    /// Endpoint for messages of our own processes (UDP). The port is the same for all agents.
    Endpoint messages;
    /// Endpoint at which the network checks whether callers may be sent here (HTTP).
    Endpoint ready;
    /// Endpoint at which metrics are served (HTTP).
    Endpoint metrics;
    /// Endpoint at which the directory is served to other processes (HTTP). The port is the same for all of them.
    Endpoint spread;
    /// Endpoint at which the directory is served to processes without known peers (HTTP); null for agents.
    Endpoint control;
    /// Endpoint at which targets, data centres and routes are published (HTTP).
    Endpoint directory;
    /// Endpoints at which other processes serve their directory, for a start while the source is unavailable; some may
    /// no longer exist.
    QList<Endpoint> seeds;
    /// Endpoint to which the network delivers packets of callers on a balancer (UDP); packets to callers are sent to
    /// the same port.
    Endpoint callers;
    /// Minimum level of log lines.
    EventLevel logLevel = EventLevel::Info;
    /// Maximum time from the stop signal until the process is killed.
    Duration stopGrace = 6s;
    /// Flows older than this may be removed.
    Duration maximumFlowAge = 60s;
    /// The whole fleet starts for the first time, so that there are no flows yet.
    bool isInitialStart = false;
    BalancingSettings balancing{};

    // Agent

    /// Endpoint to which the target sends its packets (UDP); null for balancers.
    Endpoint outbound;
    /// Endpoint at which the target receives packets (UDP).
    Endpoint target;
    /// Name of the target's service.
    QString service;
    /// Rate limit of a cold target: its configured requests per second times the factor, plus the slack.
    double coldFactor = 1.0;
    double coldSlack = 0;

    /// The address to bind a socket to that our own processes reach at @p endpoint.
    Endpoint boundAt(const Endpoint &endpoint) const
    {
        return bindAddress != 0 ? Endpoint{bindAddress, endpoint.port} : endpoint;
    }

    bool operator==(const StreamProcessSettings &) const = default;
};

}
