#pragma once

#include <QString>
#include <QtGlobal>

#include <chrono>
#include <compare>
#include <cstddef>
#include <set>
#include <variant>

namespace Rattanpick::Proof
{

/// Virtual time since the start of a run, in microseconds.
using VirtualTime = std::chrono::microseconds;

/// Identity of a configuration document; documents are ordered by number, then by digest.
struct DocumentIdentity
{
    quint64 number = 0;
    quint64 digest = 0;

    auto operator<=>(const DocumentIdentity &) const = default;
};

// Operators and fault injection

/// Operators published a document; lists the data centres and targets that it takes out of service.
struct DocumentPublished
{
    DocumentIdentity document;
    std::set<QString> outDataCentres;
    std::set<QString> drainingTargets;
};

/// A process started; the party is the process.
struct ProcessBegan
{
};

/// A process ended; the party is the process.
struct ProcessEnded
{
    bool isPlanned = false;
};

/// The party was frozen, partitioned from other processes, or started without reachable platform.
struct DisturbanceBegan
{
};

/// One of the disturbances of the party ended.
struct DisturbanceEnded
{
};

// Processes of the system

/// A process put a document in force; the party is the process.
struct ConfigurationInForce
{
    DocumentIdentity document;
};

/// The planned stop of the agent of a target began; the party is the process.
struct StopBegan
{
    QString target;
};

/// The planned stop was completed and the process ended; the party is the process.
struct StopEnded
{
    QString target;
};

// Targets

/// The target became cold: it can use only a share of its slots at full speed until it is warm; the party is the target.
struct TargetBecameCold
{
    int slots = 1;
    /// Share of the slots that is available at once, 0 to 1.
    double coldShare = 1;
    /// Time until all slots are available; the share increases linearly.
    VirtualTime warmTime{};
    /// Whether the target became cold without a restart, so that the system gets no notice of it.
    bool isSilent = false;
};

/// The target process ended and lost all its flows; the party is the target.
struct TargetTerminated
{
};

/// A caller's packet was delivered to a target; the party is the target.
struct PacketReachedTarget
{
    QString packetService;
    QString targetService;
    QString dataCentre;
};

/// The target accepted a new flow; the party is the target.
struct TargetOpenedFlow
{
    quint64 nonce = 0;
    QString dataCentre;
};

/// The target began to run a request; the party is the target.
struct TargetRanRequest
{
    quint64 nonce = 0;
    quint64 number = 0;
    /// Digest of the answer that this run returns.
    quint64 answerDigest = 0;
};

/// A run of a request ended; the party is the target.
struct TargetEndedRequest
{
    quint64 nonce = 0;
    quint64 number = 0;
};

// Callers

/// The caller received the confirmation that its flow is open.
struct FlowOpened
{
    quint64 nonce = 0;
};

/// The caller detected that its flow is broken.
struct FlowBroken
{
    quint64 nonce = 0;
    QString reason;
};

/// The caller closed its flow.
struct FlowClosed
{
    quint64 nonce = 0;
};

/// The caller sent a request for the first time.
struct CallerSentRequest
{
    quint64 nonce = 0;
    quint64 number = 0;
    bool isIdempotent = false;
    /// Time after which the caller no longer needs the answer.
    VirtualTime deadline{};
};

/// The caller cancelled a request.
struct CallerCancelledRequest
{
    quint64 nonce = 0;
    quint64 number = 0;
};

/// Result of a request as its caller sees it.
enum class Ending : quint8 {
    Answered,
    NotRun,
    OutcomeUnknown,
};

/// A request ended for its caller.
struct RequestEnded
{
    quint64 nonce = 0;
    quint64 number = 0;
    Ending ending = Ending::OutcomeUnknown;
    /// Digest of the answer that the caller assembled; 0 unless the request was answered.
    quint64 answerDigest = 0;
};

/// What a party did or observed.
using RecordBody = std::variant<DocumentPublished,
                                ProcessBegan,
                                ProcessEnded,
                                DisturbanceBegan,
                                DisturbanceEnded,
                                ConfigurationInForce,
                                StopBegan,
                                StopEnded,
                                TargetBecameCold,
                                TargetTerminated,
                                PacketReachedTarget,
                                TargetOpenedFlow,
                                TargetRanRequest,
                                TargetEndedRequest,
                                FlowOpened,
                                FlowBroken,
                                FlowClosed,
                                CallerSentRequest,
                                CallerCancelledRequest,
                                RequestEnded>;

/// One entry of a history.
struct Record
{
    VirtualTime at{};
    /// Name of the process, target or caller concerned.
    QString party;
    RecordBody body;
};

}
