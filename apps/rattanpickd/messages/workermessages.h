#pragma once

#include "agent/agentaction.h"
#include "agent/targetmessage.h"
#include "configservice/instance.h"
#include "core/timepoint.h"
#include "fabric/innerpacket.h"
#include "fabric/peermessage.h"
#include "operators/configuration.h"

#include <memory>
#include <optional>
#include <variant>

namespace Rattanpick
{

/// Input of the decision worker, pushed by the receive worker.
struct Received
{
    TimePoint at{};
    /// A message of a peer, a packet of the fabric (balancers) or a reply of the target (agents).
    std::variant<PeerMessage, InnerPacket, TargetReply> content;
};

/// A message to send; the send worker encodes it.
struct Outgoing
{
    Endpoint to;
    std::variant<PeerMessage, SendToCaller, TargetCommand> content;
};

/// A version advertised by a peer; input of the configuration worker.
struct PeerVersion
{
    Endpoint tunnel;
    ConfigurationVersion version;
    std::optional<VersionNotice> notice;
};

/// A new configuration or instance list from the configuration worker; a null member means no change.
struct ConfigurationUpdate
{
    ConfigurationPointer configuration;
    std::shared_ptr<const InstanceList> instances;
};

}
