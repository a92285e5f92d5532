#pragma once

#include "core/endpoint.h"
#include "core/event.h"
#include "core/timepoint.h"
#include "operators/daemonsettings.h"

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
    /// Address that the sockets for our own processes are bound to where the network translates addresses; 0 if they are
    /// bound where they are reached.
    quint32 bindAddress = 0;
    /// Where messages of our own processes arrive (UDP). The port is the same for all agents.
    Endpoint messages;
    /// Where the network asks whether callers may be sent here (HTTP).
    Endpoint ready;
    /// Where measurements are served (HTTP).
    Endpoint metrics;
    /// Where the directory is served to other processes (HTTP). The port is the same for all of them.
    Endpoint spread;
    /// Where the directory is served to processes that know nobody else yet (HTTP); null for agents.
    Endpoint control;
    /// Where targets, data centres and routes are published (HTTP).
    Endpoint directory;
    /// Where other processes serve their directory, for a start while the source is away; some may be gone.
    QList<Endpoint> seeds;
    /// Where the network delivers packets of callers to a balancer (UDP); it delivers to callers at the same port.
    Endpoint callers;
    /// Log lines below this level are left out.
    EventLevel logLevel = EventLevel::Info;
    /// The longest time from the order to stop until the process is killed.
    Duration stopGrace = 6s;
    /// A flow that is older may be forgotten.
    Duration maximumFlowAge = 60s;

    // Agent

    /// Where the target sends its packets (UDP); null for balancers.
    Endpoint outbound;
    /// Where the target receives packets (UDP).
    Endpoint target;
    /// Name of the target's service.
    QString service;
    /// A cold target bears this factor times its stated requests per second, and the slack on top.
    double coldFactor = 1.0;
    double coldSlack = 0;

    /// Where the socket for something that our own processes reach at @p endpoint is bound.
    Endpoint boundAt(const Endpoint &endpoint) const
    {
        return bindAddress != 0 ? Endpoint{bindAddress, endpoint.port} : endpoint;
    }

    bool operator==(const StreamProcessSettings &) const = default;
};

}
