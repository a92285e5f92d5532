#pragma once

#include "core/endpoint.h"
#include "core/flowkey.h"
#include "core/identifiers.h"
#include "stream/directoryposition.h"
#include "stream/formerservicereport.h"
#include "stream/loadreport.h"

#include <QByteArray>
#include <QtGlobal>

#include <vector>

namespace Rattanpick
{

/// Purpose of a message between a balancer and the agents.
enum class StreamMessageKind : quint8 {
    /// Carries an opening segment to the target that is to accept the flow.
    Opening = 1,
    /// Carries a later segment to the target that is assumed to hold the flow.
    Deliver = 2,
    /// Carries a later segment of a flow that the sender has no entry for; the receiver looks up its target.
    Locate = 3,
    /// Carries a later segment to a target that may hold the flow; the receiver answers Held or NotHeld.
    Probe = 4,
    /// The target holds the flow, or was sent its opening.
    Held = 5,
    /// The target does not hold the flow.
    NotHeld = 6,
    /// The flow has ended or could not be opened; its caller has been reset.
    Ended = 7,
    /// The load of a target.
    Load = 8,
    /// Requests the load of the receiver, to check whether it is reachable and how recent its directory is. The
    /// receiver then notifies the sender of directory updates for some time.
    Ping = 9,
    /// The sender's directory has reached the newer position in this message.
    DirectoryUpdate = 10,
    /// The opening is queued at the agent until the target has room.
    Waiting = 11,
    /// The target of the sender is not listed, and may hold flows.
    UnlistedTarget = 12,
    /// Requests the former services of the routes.
    RouteHistoryQuery = 13,
    /// Former services of the routes; the answer to a query has one message or more.
    RouteHistory = 14,
    /// The process of the sender's target has ended; flows that it held no longer exist.
    TargetEnded = 15,
};

/// A message between a balancer and the agents, or between two agents. Members that a kind does not use stay empty.
struct StreamMessage
{
    StreamMessageKind kind = StreamMessageKind::Load;
    /// Number of agents that have forwarded the segment.
    quint8 hopCount = 0;
    /// Version of the sender's active routes; 0 before the first one.
    quint64 configurationVersion = 0;
    /// Position of the sender's directory; null before the first full read. Without an era in messages of earlier releases.
    DirectoryPosition directoryPosition;
    /// Whether the sender reads messages that name an era. Messages that carry a segment tell it only by naming one.
    bool readsEras = false;
    /// When that position was verified to be the latest, as VerificationAge encodes it.
    quint16 verification = 0;
    /// Lamport clock of the sender; orders the events of all processes.
    quint64 lamport = 0;
    /// The process that sent the message.
    Endpoint sender;
    /// The balancer that received the segment from its caller; it is notified of the flow's target.
    Endpoint balancer;
    ServiceId service{};
    /// The target that the message is for, or that the answer is about; 0 if none.
    TargetId target{};
    Incarnation incarnation{};
    /// Opening: targets to try next, in order. Deliver: other targets that were offered the opening.
    std::vector<TargetId> candidates;
    /// The flow that an answer is about; segments contain their flow.
    FlowKey flow;
    LoadReport load;
    /// NotHeld: the sender has targets whose entries are missing and may return. One of them may hold the flow, and a
    /// process that has started since has no record of it.
    bool isUnsettled = false;
    /// NotHeld: the sender knows all targets that may hold the flow, so that its own lookup of it could end in a reset.
    bool knowsAllTargets = false;
    /// NotHeld: the target has not been asked, since the sender knows no configuration that lets the flow use its service. The
    /// target may hold the flow.
    bool isUncertain = false;
    /// Probe: the sender knows a configuration that lets the flow use the service of the target.
    bool isServiceAllowed = false;
    /// RouteHistory: at most maximumFormerServices of them.
    std::vector<FormerServiceReport> formerServices;
    /// RouteHistory: number of messages of the answer.
    quint16 partCount = 0;
    /// RouteHistory: for how long the sender has followed the configuration, in milliseconds.
    quint32 followedMilliseconds = 0;
    /// UnlistedTarget and TargetEnded: where the target receives segments.
    Endpoint targetAddress;
    /// The whole packet of the caller; for kinds that carry a segment.
    QByteArray packet;

    bool operator==(const StreamMessage &) const = default;
};

}
