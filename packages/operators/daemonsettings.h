#pragma once

#include "core/endpoint.h"
#include "core/event.h"

#include <QList>
#include <QString>

#include <array>
#include <cstddef>

namespace Rattanpick
{

/// What a daemon process does.
enum class DaemonRole : quint8 {
    Balancer,
    Agent,
};

/// The settings file of a daemon, for both roles.
struct DaemonSettings
{
    // Both roles

    /// Name of this instance in the instance list, in events and in logs.
    QString name;
    DaemonRole role = DaemonRole::Balancer;
    QString dataCentre;
    /// Where the tunnel socket listens (UDP).
    Endpoint tunnel;
    /// Where the admin interface listens (JSON-RPC over HTTP).
    Endpoint admin;
    /// The key of the tags on tunnel messages.
    std::array<unsigned char, 16> fleetKey{};
    /// Where the configuration service answers, at least one.
    QList<Endpoint> platform;
    /// Admin interfaces of peers to ask before the instance list is known.
    QList<Endpoint> seedPeers;
    /// Log lines below this level are left out.
    EventLevel logLevel = EventLevel::Info;
    /// Events kept in memory.
    std::size_t eventsKept = 10000;
    /// The longest time that a planned stop waits for requests in progress.
    int stopLimitSeconds = 30;

    // Agent

    /// Name of the target beside the agent; empty for balancers.
    QString target;
    /// Where the target process answers the agent.
    Endpoint targetLink;
    /// Where the agent listens for the target process.
    Endpoint link;

    // Balancer

    /// Where packets of the fabric arrive; null for agents.
    Endpoint fabric;

    bool operator==(const DaemonSettings &) const = default;
};

}
