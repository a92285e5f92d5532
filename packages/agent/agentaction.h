#pragma once

#include "agent/targetmessage.h"
#include "caller/callermessage.h"
#include "core/eventnumber.h"
#include "fabric/peermessage.h"
#include "fabric/peermessagecodec.h"

#include <QString>

#include <variant>
#include <vector>

namespace Rattanpick
{

/// Send a message to another process of the system; the header is complete but for the Lamport clock.
struct SendToPeer
{
    Endpoint to;
    PeerMessage message;

    bool operator==(const SendToPeer &) const = default;
};

/// Send a message straight back to the caller of the flow.
struct SendToCaller
{
    FlowKey flow;
    CallerMessage message;

    bool operator==(const SendToCaller &) const = default;
};

/// Send a command to the target beside this agent.
struct SendToTarget
{
    TargetCommand command;

    bool operator==(const SendToTarget &) const = default;
};

/// Record an event in the log and the time line.
struct RecordEvent
{
    EventNumber number = EventNumber::ProcessStarted;
    /// The flow concerned; a null caller endpoint means none.
    FlowKey flow;
    quint64 request = 0;
    QString detail;

    bool operator==(const RecordEvent &) const = default;
};

/// Hand over to another candidate an idempotent request that this agent has not run and will not run.
struct RetryElsewhere
{
    FlowKey flow;
    Request request;

    bool operator==(const RetryElsewhere &) const = default;
};

/// Fetch the configuration difference from a peer that has a newer version.
struct FetchConfiguration
{
    Endpoint peer;

    bool operator==(const FetchConfiguration &) const = default;
};

/// Broadcast a confirmed suspicion, or its refutation, to balancers and agents of other services.
struct SpreadSuspicion
{
    Suspicion suspicion;

    bool operator==(const SpreadSuspicion &) const = default;
};

/// Count a dropped packet.
struct CountDrop
{
    DropReason reason = DropReason::None;

    bool operator==(const CountDrop &) const = default;
};

/// A side effect that the agent requests and that its process executes.
using AgentAction = std::variant<SendToPeer, SendToCaller, SendToTarget, RecordEvent, RetryElsewhere, FetchConfiguration, SpreadSuspicion, CountDrop>;

/// Actions in the order in which they are to be executed.
using AgentActions = std::vector<AgentAction>;

}
