#pragma once

#include "core/flowkey.h"
#include "fabric/hoplist.h"
#include "fabric/tunnelheader.h"

#include <QByteArray>

#include <variant>
#include <vector>

namespace Rattanpick
{

/// A caller's packet on its way to the owner of its flow.
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

/// The candidate owns the flow from now on.
struct Accepted
{
    FlowKey flow;
    quint64 nonce = 0;
    Incarnation flowIncarnation{};

    bool operator==(const Accepted &) const = default;
};

/// Why a candidate does not accept a flow or an agent does not run a request.
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

/// The candidate does not take the flow.
struct Declined
{
    FlowKey flow;
    quint64 nonce = 0;
    RefusalReason reason = RefusalReason::None;

    bool operator==(const Declined &) const = default;
};

/// The home no longer counts on the candidate for this flow.
struct Withdraw
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const Withdraw &) const = default;
};

/// Asks an earlier home whether it knows the flow; if not it records that the sender decides.
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

/// The answer to a FlowQuery; the entry is meaningful only if the flow is known.
struct FlowReply
{
    bool isKnown = false;
    DirectoryEntry entry;

    bool operator==(const FlowReply &) const = default;
};

/// Directory entries that the sender owns, at most maximumEntries.
struct Register
{
    /// Keeps a message within one unfragmented datagram of 1,500 bytes minus headers.
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

/// The flow has ended; directory entries of the sender for it are void.
struct Release
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const Release &) const = default;
};

/// Count and xor of the hashes of the entries that the sender has registered at the receiver.
struct DirectoryDigest
{
    quint32 count = 0;
    quint64 digest = 0;

    bool operator==(const DirectoryDigest &) const = default;
};

/// Asks an owner to register its flows of the receiver's buckets again.
struct DirectoryPull
{
    bool operator==(const DirectoryPull &) const = default;
};

/// Tells the version in force, which the header carries already.
struct VersionNotice
{
    /// Where the sender serves documents (JSON-RPC over HTTP).
    Endpoint adminEndpoint;
    /// Whether the receiver shall answer with its own notice.
    bool wantsAnswer = false;

    bool operator==(const VersionNotice &) const = default;
};

/// A sign of life from one agent to another of its service.
struct Heartbeat
{
    bool isDraining = false;
    /// Heartbeats are numbered from 1 in each incarnation; 0 asks the receiver for a heartbeat, which tells its load.
    quint64 sequence = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// A target's agent is suspected dead, or no longer so.
struct Suspicion
{
    Hop suspect;
    Incarnation suspectIncarnation{};
    bool isRefuted = false;
    /// The target beside the agent that reports it; 0 once two agents, or an agent and the instance list, agree.
    TargetId reporter{};

    bool operator==(const Suspicion &) const = default;
};

/// An idempotent request that the sender has not run and never will, for the receiver to run.
struct Retry
{
    FlowKey flow;
    /// One encoded caller message of kind Request.
    QByteArray payload;

    bool operator==(const Retry &) const = default;
};

/// The body of a message between two processes of the system.
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
