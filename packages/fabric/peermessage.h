#pragma once

#include "core/flowkey.h"
#include "fabric/hoplist.h"
#include "fabric/tunnelheader.h"

#include <QByteArray>

#include <variant>
#include <vector>

namespace Rattanpick
{

/// A caller's packet that is forwarded to the owner of its flow.
struct Forward
{
    HopList hops;
    FlowKey flow;
    /// UDP payload of the inner packet: one encoded caller message.
    QByteArray payload;

    bool operator==(const Forward &) const = default;
};

/// Asks a candidate to accept a new flow.
struct Offer
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const Offer &) const = default;
};

/// The candidate accepts the flow and owns it from now on.
struct Accepted
{
    FlowKey flow;
    quint64 nonce = 0;
    Incarnation flowIncarnation{};

    bool operator==(const Accepted &) const = default;
};

/// Reason for which a candidate declines a flow or an agent does not run a request.
enum class RefusalReason : quint8 {
    None = 0,
    Overloaded = 1,
    Cold = 2,
    Draining = 3,
    Stopping = 4,
    ConnectionLimit = 5,
    DeadlinePassed = 6,
    Cancelled = 7,
    Recovering = 8,
    NoTarget = 9,
    OtherIncarnation = 10,
    Forgotten = 11,
    TargetLost = 12,
    TargetTimeout = 13,
    DataCentreOut = 14,
};

/// The candidate declines the flow.
struct Declined
{
    FlowKey flow;
    quint64 nonce = 0;
    RefusalReason reason = RefusalReason::None;

    bool operator==(const Declined &) const = default;
};

/// The home agent withdraws the flow from the candidate, which discards the flow unless it is in use.
struct Withdraw
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const Withdraw &) const = default;
};

/// Asks an earlier home agent for its entry of the flow; without one, it records that the sender places the flow.
struct FlowQuery
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const FlowQuery &) const = default;
};

/// One entry of a flow directory: which agent owns the flow.
struct DirectoryEntry
{
    FlowKey flow;
    quint64 nonce = 0;
    Hop owner;
    Incarnation flowIncarnation{};

    bool operator==(const DirectoryEntry &) const = default;
};

/// The answer to a FlowQuery; the entry is valid only if isKnown is set.
struct FlowReply
{
    bool isKnown = false;
    DirectoryEntry entry;

    bool operator==(const FlowReply &) const = default;
};

/// Directory entries of flows that the sender owns, at most maximumEntries.
struct Register
{
    /// Limits a message to one unfragmented datagram of 1,500 bytes minus headers.
    static constexpr std::size_t maximumEntries = 32;

    quint64 batch = 0;
    std::vector<DirectoryEntry> entries;

    bool operator==(const Register &) const = default;
};

/// Acknowledges a Register batch.
struct Registered
{
    quint64 batch = 0;

    bool operator==(const Registered &) const = default;
};

/// The flow has ended; the receiver removes the sender's directory entries for it.
struct Release
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const Release &) const = default;
};

/// Count and XOR of the hashes of the entries that the sender has registered at the receiver.
struct DirectoryDigest
{
    quint32 count = 0;
    quint64 digest = 0;

    bool operator==(const DirectoryDigest &) const = default;
};

/// Asks an owner to register again its flows whose home agent is the sender.
struct DirectoryPull
{
    bool operator==(const DirectoryPull &) const = default;
};

/// Announces the version in force, which is in the header.
struct VersionNotice
{
    /// Endpoint at which the sender serves documents (JSON-RPC over HTTP).
    Endpoint adminEndpoint;
    /// Whether the receiver must answer with its own notice.
    bool wantsAnswer = false;

    bool operator==(const VersionNotice &) const = default;
};

/// Evidence that an agent is alive, sent to other agents of its service.
struct Heartbeat
{
    bool isDraining = false;
    /// Numbered from 1 in each incarnation; 0 requests a heartbeat from the receiver, which reports its load.
    quint64 sequence = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// The agent of a target is suspected dead, or the suspicion is refuted.
struct Suspicion
{
    Hop suspect;
    Incarnation suspectIncarnation{};
    bool isRefuted = false;
    /// The target of the reporting agent; 0 once two agents, or an agent and the instance list, agree.
    TargetId reporter{};

    bool operator==(const Suspicion &) const = default;
};

/// An idempotent request for the receiver to run; the sender has not run it and never will.
struct Retry
{
    FlowKey flow;
    /// One encoded caller message of kind Request.
    QByteArray payload;

    bool operator==(const Retry &) const = default;
};

/// The body of a PeerMessage.
using PeerBody = std::variant<Forward,
                              Offer,
                              Accepted,
                              Declined,
                              Withdraw,
                              FlowQuery,
                              FlowReply,
                              Register,
                              Registered,
                              Release,
                              DirectoryDigest,
                              DirectoryPull,
                              VersionNotice,
                              Heartbeat,
                              Suspicion,
                              Retry>;

/// A message between two processes of the system.
struct PeerMessage
{
    TunnelHeader header;
    PeerBody body;

    bool operator==(const PeerMessage &) const = default;
};

}
