#pragma once

#include "core/configurationversion.h"
#include "core/endpoint.h"
#include "core/identifiers.h"

namespace Rattanpick
{

/// What every message between two processes of the system carries besides its body.
struct TunnelHeader
{
    /// Set in flags by an agent that is still in recovery and may not know all of its flows.
    static constexpr quint8 recoveryFlag = 0x01;
    /// Set in flags by an agent that stops as planned; its messages do not refute the announcement of its stop.
    static constexpr quint8 stoppingFlag = 0x02;

    /// The version in force at the sender.
    ConfigurationVersion version;
    /// The service concerned; 0 for messages about no service.
    ServiceId service{};
    /// The target whose agent the message is for; 0 for balancers.
    TargetId destination{};
    /// The agent incarnation that the sender believes the destination has; 0 if not known.
    Incarnation destinationIncarnation{};
    /// The target beside the sender; 0 if the sender is a balancer.
    TargetId sender{};
    /// Where the sender's tunnel socket listens.
    Endpoint senderEndpoint;
    /// The sender's process incarnation.
    Incarnation senderIncarnation{};
    /// Lamport clock of the sender.
    quint64 lamport = 0;
    /// Load of the sender's target in permille; 0 from balancers.
    quint16 loadPermille = 0;
    /// How many agents have passed the packet on.
    quint8 hopCount = 0;
    /// Combination of the flag constants above; receivers ignore other bits.
    quint8 flags = 0;

    bool operator==(const TunnelHeader &) const = default;
};

}
