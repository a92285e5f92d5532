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

/// The caller's side of one flow. It has no socket and no clock: the process passes in messages and the current time.
///
/// Calls append messages to send and events to @p actions. @p now must not decrease from call to call.
class CallerSession
{
public:
    /// Why sendData() or sendRequest() failed.
    enum class Error : quint8 {
        None,
        /// The flow is not open.
        NotOpen,
        /// The payload or body is larger than the protocol allows.
        TooLarge,
        /// Too many messages are unacknowledged or too many requests are in progress.
        WindowFull,
        /// The deadline of the request has already passed.
        DeadlinePassed,
    };

    /// Creates a session that has not sent any message.
    explicit CallerSession(const CallerSessionSettings &settings);

    // Flow

    /// Opens the flow; must be called once only.
    void open(TimePoint now, CallerActions &actions);

    /// Closes the flow; the outcome of requests in progress becomes unknown.
    void close(TimePoint now, CallerActions &actions);

    /// Whether data and requests may be sent.
    bool isOpen() const
    {
        return m_state == State::Open;
    }

    /// Whether the flow was refused, closed or broken.
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

    /// Sends flow data and returns its sequence number; nothing on error, see lastError().
    std::optional<quint64> sendData(TimePoint now, const QByteArray &payload, CallerActions &actions);

    /// Sends a request and returns the number that RequestEnded names; nothing on error, see lastError().
    std::optional<quint64> sendRequest(TimePoint now, const QByteArray &body, bool isIdempotent, TimePoint deadline, CallerActions &actions);

    /// Cancels a request whose answer is no longer needed; RequestEnded still reports its outcome.
    void cancel(TimePoint now, quint64 request, CallerActions &actions);

    /// Why the latest sendData() or sendRequest() failed; None if it succeeded.
    Error lastError() const
    {
        return m_lastError;
    }

    /// The number of requests in progress.
    std::size_t requestsInProgress() const
    {
        return m_requests.size();
    }

    // Events

    /// Handles a message from the service; messages of other flows are ignored.
    void onMessage(TimePoint now, const CallerMessage &message, CallerActions &actions);

    /// Handles due repeats, retries and timeouts; must be called at least every 10 ms.
    void onTick(TimePoint now, CallerActions &actions);

private:
    enum class State : quint8 { New, Opening, Open, Closing, Ended };

    /// Schedule of the repeats of an unanswered message.
    struct Repeat
    {
        TimePoint at{};
        int count = 0;
    };

    /// One attempt of a request, sent under a number of its own.
    struct Attempt
    {
        quint64 number = 0;
        /// Fixed at the first transmission: a copy with a later incarnation would be treated as a new request.
        Incarnation flowIncarnation{};
        /// Nothing while the attempt is in progress.
        std::optional<Outcome> refusal;
        Repeat repeat;
        AnswerAssembler assembler;
        /// When missing parts are requested; nothing before the first part arrives.
        std::optional<TimePoint> partRequestAt;
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
    void advanceRequest(TimePoint now, PendingRequest &request, CallerActions &actions);
    void handleRefusal(TimePoint now, PendingRequest &request, CallerActions &actions);
    bool mayRetry(TimePoint now, const PendingRequest &request) const;
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
    /// An earlier incarnation that was announced again, once so far.
    Incarnation m_returningIncarnation{};
    Repeat m_repeat;
    TimePoint m_stateDeadline{};
    TimePoint m_keepAliveAt{};
    TimePoint m_silenceDeadline{};

    quint64 m_lastNumber = 0;
    Requests m_requests;
    RetryBudget m_budget;

    quint64 m_lastSequence = 0;
    std::deque<UnacknowledgedData> m_unacknowledged;
    quint64 m_lastDelivered = 0;
    std::map<quint64, QByteArray> m_outOfOrder;
};

}
