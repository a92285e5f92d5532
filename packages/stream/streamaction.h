#pragma once

#include "core/eventnumber.h"
#include "core/timepoint.h"
#include "stream/streammessage.h"

#include <QByteArray>
#include <QString>

#include <variant>
#include <vector>

namespace Rattanpick
{

/// Sends a message to another process of the system.
struct SendStreamMessage
{
    Endpoint to;
    StreamMessage message;

    bool operator==(const SendStreamMessage &) const = default;
};

/// Sends a packet to the local target.
struct SendToStreamTarget
{
    QByteArray packet;

    bool operator==(const SendToStreamTarget &) const = default;
};

/// Sends a packet to a caller.
struct SendToStreamCaller
{
    /// The address of the caller in the flow; the network determines the port.
    Endpoint caller;
    QByteArray packet;

    bool operator==(const SendToStreamCaller &) const = default;
};

/// Records an event.
struct RecordStreamEvent
{
    EventNumber number{};
    FlowKey flow;
    QString detail;

    /// The flow as text for logs; empty if the event does not concern a flow.
    QString flowText() const
    {
        return flow == FlowKey{} ? QString() : flow.toString();
    }

    bool operator==(const RecordStreamEvent &) const = default;
};

/// Durations that the decision objects measure.
enum class StreamTimer : quint8 {
    /// From the caller's opening to the confirmation that a target holds the flow, measured by the balancer.
    Opening,
    /// From the first data of a request to the first data of its answer, measured by the agent.
    Request,
    /// Time that an opening was queued for a busy target.
    Wait,
    Count,
};

/// Tries to connect to the local target, to check whether its process is alive.
struct ProbeStreamTarget
{
    bool operator==(const ProbeStreamTarget &) const = default;
};

/// Records a duration.
struct RecordStreamTime
{
    StreamTimer timer = StreamTimer::Opening;
    Duration time{};

    bool operator==(const RecordStreamTime &) const = default;
};

/// An action requested by a decision object.
using StreamAction = std::variant<SendStreamMessage, SendToStreamTarget, SendToStreamCaller, RecordStreamEvent, RecordStreamTime, ProbeStreamTarget>;

/// Actions in the order in which they are executed.
using StreamActions = std::vector<StreamAction>;

}
