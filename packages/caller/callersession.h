#pragma once

#include "caller/answerassembler.h"
#include "caller/calleraction.h"
#include "caller/callermessage.h"
#include "caller/callersessionsettings.h"
#include "caller/retrybudget.h"
#include "core/timepoint.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Rattanpick
{

/// The caller's side of one flow; it has no socket and no clock of its own.
///
/// Calls append what is to be sent, and what has happened, to @p actions. Times must not run backwards.
class CallerSession
{
public:
    /// Why sendData() or sendRequest() did nothing.
    enum class Error : quint8 {
        None,
        /// The flow is not open.
        NotOpen,
        /// The payload or body is larger than the protocol allows.
        TooLarge,
        /// Too many messages or requests have not ended.
        WindowFull,
        /// The deadline of the request has passed already.
        DeadlinePassed,
    };

    /// Builds a session that has sent nothing yet.
    explicit CallerSession(const CallerSessionSettings &settings);

    // Flow

    /// Opens the flow; to be called once.
    void open(TimePoint now, CallerActions &actions);

    /// Ends the flow; requests that have not ended get an unknown outcome.
    void close(TimePoint now, CallerActions &actions);

    /// Whether data and requests may be sent.
    bool isOpen() const
    {
        return m_state == State::Open;
    }

    /// Whether the flow is refused, closed or broken.
    bool isEnded() const
    {
        return m_state == State::Ended;
    }

    /// The nonce of the flow.
    quint64 nonce() const
    {
        return m_nonce;
    }

    /// The incarnation that new requests carry; 0 before the flow is open.
    Incarnation flowIncarnation() const
    {
        return m_flowIncarnation;
    }

    // Data and requests

    /// Sends flow data and returns its sequence number; nothing on error, then lastError() tells why.
    std::optional<quint64> sendData(TimePoint now, const QByteArray &payload, CallerActions &actions);

    /// Sends a request and returns the number that RequestEnded names; nothing on error, then lastError() tells why.
    std::optional<quint64> sendRequest(TimePoint now, const QByteArray &body, bool isIdempotent, TimePoint deadline, CallerActions &actions);

    /// The answer is no longer wanted; RequestEnded still tells what became of the request.
    void cancel(TimePoint now, quint64 request, CallerActions &actions);

    /// Why the latest sendData() or sendRequest() did nothing.
    Error lastError() const
    {
        return m_lastError;
    }

    /// The number of requests that have not ended.
    std::size_t requestsInProgress() const
    {
        return m_requests.size();
    }

    // Events

    /// A message from the service; messages of other flows are ignored.
    void onMessage(TimePoint now, const CallerMessage &message, CallerActions &actions);

    /// Repeats, retries and ends what is due; to be called at least every 10 ms.
    void onTick(TimePoint now, CallerActions &actions);

private:
    enum class State : quint8 { New, Opening, Open, Closing, Ended };

    /// When an unanswered message is repeated.
    struct Repeat
    {
        TimePoint at{};
        int count = 0;
    };

    /// One number under which a request was sent.
    struct Attempt
    {
        quint64 number = 0;
        /// Bound at the first sending: a copy under a later incarnation would be taken for a new request.
        Incarnation flowIncarnation{};
        /// Nothing while the attempt has not ended.
        std::optional<Outcome> refused;
        Repeat repeat;
        AnswerAssembler assembler;
        /// When missing parts are asked for; nothing before the first part.
        std::optional<TimePoint> askAt;
    };

    struct PendingRequest
    {
        quint64 id = 0;
        bool isIdempotent = false;
        bool isCancelled = false;
        QByteArray body;
        TimePoint deadline{};
        RefusalReason reason = RefusalReason::None;
        std::vector<Attempt> attempts;
        std::optional<TimePoint> retryAt;
        std::optional<TimePoint> hedgeAt;
    };

    struct UnacknowledgedData
    {
        quint64 sequence = 0;
        QByteArray payload;
        Repeat repeat;
    };

    using Requests = std::vector<PendingRequest>;

    void handle(TimePoint now, const Opened &message, CallerActions &actions);
    void handle(TimePoint now, const Data &message, CallerActions &actions);
    void handle(TimePoint now, const DataAck &message, CallerActions &actions);
    void handle(TimePoint now, const AnswerPart &message, CallerActions &actions);
    void handle(TimePoint now, const Refused &message, CallerActions &actions);
    void handle(TimePoint now, const Closed &message, CallerActions &actions);
    void handle(TimePoint now, const Reset &message, CallerActions &actions);
    void handle(TimePoint now, const Rebound &message, CallerActions &actions);
    template <typename Message>
    void handle(TimePoint now, const Message &message, CallerActions &actions);

    Repeat nextRepeat(TimePoint now, int count) const;
    bool isDue(TimePoint now, Repeat &repeat) const;
    bool accepts(Error error);

    void startAttempt(TimePoint now, PendingRequest &request, CallerActions &actions);
    void sendAttempt(TimePoint now, const PendingRequest &request, const Attempt &attempt, CallerActions &actions) const;
    void stepRequest(TimePoint now, PendingRequest &request, CallerActions &actions);
    void settleRefusal(TimePoint now, PendingRequest &request, CallerActions &actions);
    bool mayTryAgain(TimePoint now, const PendingRequest &request) const;
    void endRequest(PendingRequest &request, RequestEnding ending, RefusalReason reason, const QByteArray &body, CallerActions &actions);
    void endWithoutAnswer(PendingRequest &request, RefusalReason reason, CallerActions &actions);
    void endAllRequests(RefusalReason reason, CallerActions &actions);
    void removeEndedRequests();
    void sendKeepAlive(TimePoint now, CallerActions &actions);

    CallerSessionSettings m_settings;
    std::mt19937_64 m_random;
    State m_state = State::New;
    Error m_lastError = Error::None;
    quint64 m_nonce = 0;
    Incarnation m_flowIncarnation{};
    std::vector<Incarnation> m_earlierIncarnations;
    /// An earlier incarnation that was announced again once.
    Incarnation m_returningIncarnation{};
    Repeat m_repeat;
    TimePoint m_stateDeadline{};
    TimePoint m_keepAliveAt{};
    TimePoint m_brokenAt{};

    quint64 m_lastNumber = 0;
    Requests m_requests;
    RetryBudget m_budget;

    quint64 m_lastSequence = 0;
    std::deque<UnacknowledgedData> m_unacknowledged;
    quint64 m_lastArrived = 0;
    std::map<quint64, QByteArray> m_early;
};

}
