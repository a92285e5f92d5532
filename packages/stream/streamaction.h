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

/// Sends a packet to the target beside this process.
struct SendToStreamTarget
{
    QByteArray packet;

    bool operator==(const SendToStreamTarget &) const = default;
};

/// Sends a packet to a caller.
struct SendToStreamCaller
{
    /// The address of the caller in the flow; the network decides about the port.
    Endpoint caller;
    QByteArray packet;

    bool operator==(const SendToStreamCaller &) const = default;
};

/// Records a decision.
struct RecordStreamEvent
{
    EventNumber number{};
    FlowKey flow;
    QString detail;

    /// The flow as logs name it; empty for an event that is about no flow.
    QString flowText() const
    {
        return flow == FlowKey{} ? QString() : flow.toString();
    }

    bool operator==(const RecordStreamEvent &) const = default;
};

/// The times that decision objects measure.
enum class StreamTimer : quint8 {
    /// From the caller's opening to the news that a target holds the flow, at the balancer.
    Opening,
    /// From the first data of a request to the first data of its answer, at the agent.
    Request,
    /// Wait of an opening beside a busy target.
    Wait,
    Count,
};

/// Tries to connect to the target beside this process, to see whether its process is there.
struct ProbeStreamTarget
{
    bool operator==(const ProbeStreamTarget &) const = default;
};

/// Measures a time.
struct RecordStreamTime
{
    StreamTimer timer = StreamTimer::Opening;
    Duration time{};

    bool operator==(const RecordStreamTime &) const = default;
};

/// What a decision object wants done.
using StreamAction = std::variant<SendStreamMessage, SendToStreamTarget, SendToStreamCaller, RecordStreamEvent, RecordStreamTime, ProbeStreamTarget>;

/// In the order in which it is to be done.
using StreamActions = std::vector<StreamAction>;

}
