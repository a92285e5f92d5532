#pragma once

#include "core/configurationversion.h"
#include "core/endpoint.h"
#include "core/identifiers.h"

namespace Rattanpick
{

/// Header of every message between two processes of the system.
struct TunnelHeader
{
    /// Flag of an agent that is still recovering and may not hold all of its flows yet.
    static constexpr quint8 recoveryFlag = 0x01;
    /// Flag of an agent in a planned shutdown; its messages do not refute the announcement of its stop.
    static constexpr quint8 stoppingFlag = 0x02;

    /// The version in force at the sender.
    ConfigurationVersion version;
    /// The service that the message concerns; 0 if none.
    ServiceId service{};
    /// The target of the destination agent; 0 if the destination is a balancer.
    TargetId destination{};
    /// The incarnation that the sender assumes the destination agent has; 0 if unknown.
    Incarnation destinationIncarnation{};
    /// The target of the sending agent; 0 if the sender is a balancer.
    TargetId sender{};
    /// Endpoint of the sender's tunnel socket.
    Endpoint senderEndpoint;
    /// The sender's process incarnation.
    Incarnation senderIncarnation{};
    /// Lamport clock of the sender.
    quint64 lamport = 0;
    /// Load of the sender's target in permille; 0 from balancers.
    quint16 loadPermille = 0;
    /// Number of agents that have forwarded the packet.
    quint8 hopCount = 0;
    /// Combination of the flag constants above; receivers ignore other bits.
    quint8 flags = 0;

    bool operator==(const TunnelHeader &) const = default;
};

}
