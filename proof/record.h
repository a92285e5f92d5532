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
using Moment = std::chrono::microseconds;

/// Identity of a document, as its publisher or the process that uses it sees it.
struct DocumentIdentity
{
    quint64 number = 0;
    quint64 digest = 0;

    auto operator<=>(const DocumentIdentity &) const = default;
};

// Operators and fault injection

/// Operators published a document; lists what it takes away from service.
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

/// The party is frozen or cut off from some others from now on.
struct DisturbanceBegan
{
};

/// The latest disturbance of the party is over.
struct DisturbanceEnded
{
};

// Processes of the system

/// A process uses a document from now on; the party is the process.
struct ConfigurationInForce
{
    DocumentIdentity document;
};

/// A planned stop of the agent beside a target began; the party is the process.
struct StopBegan
{
    QString target;
};

/// The planned stop has ended and the process is gone; the party is the process.
struct StopEnded
{
    QString target;
};

// Targets

/// The target bears only a share of its slots from now on, which rises to all of them; the party is the target.
struct TargetBecameCold
{
    int slots = 1;
    /// Share that the target bears at once, from 0 to 1.
    double coldShare = 1;
    /// Time until the target bears all of its slots.
    Moment warmTime{};
    /// Whether nothing announces the change: the process did not restart.
    bool isSilent = false;
};

/// The target process ended with all its flows; the party is the target.
struct TargetDied
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
    /// Digest of the answer that this run gives.
    quint64 answerDigest = 0;
};

/// A run of a request ended; the party is the target.
struct TargetEndedRequest
{
    quint64 nonce = 0;
    quint64 number = 0;
};

// Callers

/// The caller learned that its flow is open.
struct FlowOpened
{
    quint64 nonce = 0;
};

/// The caller found its flow broken.
struct FlowBroken
{
    quint64 nonce = 0;
    QString reason;
};

/// The caller ended its flow.
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
    /// When the answer becomes worthless.
    Moment deadline{};
};

/// The caller withdrew a request.
struct CallerCancelledRequest
{
    quint64 nonce = 0;
    quint64 number = 0;
};

/// How a request ended for its caller.
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
    /// Digest of the answer that the caller assembled, if it was answered.
    quint64 answerDigest = 0;
};

/// What one party saw or did.
using RecordBody = std::variant<DocumentPublished,
                                ProcessBegan,
                                ProcessEnded,
                                DisturbanceBegan,
                                DisturbanceEnded,
                                ConfigurationInForce,
                                StopBegan,
                                StopEnded,
                                TargetBecameCold,
                                TargetDied,
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
    Moment at{};
    /// Name of the process, target or caller concerned.
    QString party;
    RecordBody body;
};

}
