#pragma once

#include "core/endpoint.h"
#include "core/event.h"

#include <QList>
#include <QString>

#include <array>
#include <cstddef>

namespace Rattanpick
{

/// The role of a daemon process.
enum class DaemonRole : quint8 {
    Balancer,
    Agent,
};

/// The settings of a daemon, for both roles.
struct DaemonSettings
{
    // Both roles

    /// Name of the instance in the instance list, in events and in logs.
    QString name;
    DaemonRole role = DaemonRole::Balancer;
    QString dataCentre;
    /// Address of the tunnel socket (UDP).
    Endpoint tunnel;
    /// Address of the admin interface (JSON-RPC over HTTP).
    Endpoint admin;
    /// Key for the authentication tags of tunnel messages.
    std::array<unsigned char, 16> fleetKey{};
    /// Endpoints of the configuration service, at least one.
    QList<Endpoint> platform;
    /// Admin interfaces of peers that are queried before the instance list is available.
    QList<Endpoint> seedPeers;
    /// Minimum level of written log lines.
    EventLevel logLevel = EventLevel::Info;
    /// Number of events kept in memory.
    std::size_t eventsKept = 10000;
    /// Maximum time that a planned stop waits for requests in progress.
    int stopLimitSeconds = 30;

    // Agent

    /// Name of the target next to the agent; empty for balancers.
    QString target;
    /// Address on which the target process receives messages of the agent.
    Endpoint targetLink;
    /// Address on which the agent receives messages of the target process.
    Endpoint link;

    // Balancer

    /// Address on which packets of the fabric arrive; null for agents.
    Endpoint fabric;

    bool operator==(const DaemonSettings &) const = default;
};

}
