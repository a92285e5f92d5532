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

/// What the receiving duty hands to the decisions.
struct Received
{
    TimePoint at{};
    /// A message of a peer, a packet of the fabric (balancers) or a reply of the target (agents).
    std::variant<PeerMessage, InnerPacket, TargetReply> content;
};

/// What is to be sent; the sending duty encodes it.
struct Outgoing
{
    Endpoint to;
    std::variant<PeerMessage, SendToCaller, TargetCommand> content;
};

/// A version that a peer has told, for the configuration duty.
struct PeerVersion
{
    Endpoint tunnel;
    ConfigurationVersion version;
    std::optional<VersionNotice> notice;
};

/// What the configuration duty puts in force; a null member means no change.
struct ConfigurationUpdate
{
    ConfigurationPointer configuration;
    std::shared_ptr<const InstanceList> instances;
};

}
