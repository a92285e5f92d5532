#pragma once

#include "core/endpoint.h"
#include "core/flowkey.h"
#include "core/identifiers.h"
#include "stream/loadreport.h"

#include <QByteArray>
#include <QtGlobal>

#include <vector>

namespace Rattanpick
{

/// What a message between a balancer and the agents is for.
enum class StreamMessageKind : quint8 {
    /// Carries an opening segment to the target that shall take the flow.
    Opening = 1,
    /// Carries a later segment to the target that is believed to hold the flow.
    Deliver = 2,
    /// Carries a later segment of a flow that the sender does not know, for the receiver to find its target.
    Locate = 3,
    /// Carries a later segment to a target that may hold the flow; the receiver answers Held or NotHeld.
    Probe = 4,
    /// The target holds the flow, or has been given its opening.
    Held = 5,
    /// The target does not hold the flow.
    NotHeld = 6,
    /// The flow is over, or could not be opened; its caller has been told.
    Ended = 7,
    /// The load of a target.
    Load = 8,
    /// Asks the receiver for its load, to see whether it is there and how fresh its directory is. The receiver tells the
    /// sender of news of the directory for a while.
    Ping = 9,
    /// The sender's directory has reached a later revision, as the message says of itself.
    News = 10,
    /// The opening waits beside the target until it has room.
    Waiting = 11,
};

/// A message between a balancer and the agents, or between two agents. Members that a kind does not need stay empty.
struct StreamMessage
{
    StreamMessageKind kind = StreamMessageKind::Load;
    /// Agents that the segment has passed.
    quint8 hopCount = 0;
    /// The version of the routes that the sender has in force; 0 before the first.
    quint64 configurationVersion = 0;
    /// The revision of the directory that the sender has reached; 0 before the first reading.
    quint64 directoryRevision = 0;
    /// How long ago that revision was known to be the latest, in milliseconds; 65,535 stands for longer.
    quint16 verifiedMilliseconds = 0;
    /// Lamport clock of the sender; orders the events of all processes.
    quint64 lamport = 0;
    /// The process that sent the message.
    Endpoint sender;
    /// The balancer that took the segment from its caller; it learns where the flow is.
    Endpoint balancer;
    ServiceId service{};
    /// The target that is meant, or that the answer is about; 0 if none.
    TargetId target{};
    Incarnation incarnation{};
    /// Opening: targets to try next, in order. Deliver: other targets that the opening was offered to.
    std::vector<TargetId> candidates;
    /// The flow that an answer is about; segments name their flow themselves.
    FlowKey flow;
    LoadReport load;
    /// NotHeld: the sender knows of targets whose entries are missing and may be back soon. One of them may hold the flow,
    /// which a process that has started since does not know.
    bool isUnsettled = false;
    /// The whole packet of the caller, for kinds that carry a segment.
    QByteArray packet;

    bool operator==(const StreamMessage &) const = default;
};

}
