#include "caller/callersession.h"

#include "caller/callermessagecodec.h"
#include "core/assertion.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace Rattanpick
{

namespace
{

// The repeat interval doubles this often: 1, 2, 4 and then 8 times the interval.
constexpr int repeatDoublings = 3;
// Earlier incarnations kept to detect a Rebound that arrives late.
constexpr std::size_t maximumEarlierIncarnations = 8;

/// Whether the refusal is temporary, so that the owner may run the request on a later retry.
bool isTransient(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
    case RefusalReason::Cold:
    case RefusalReason::Recovering:
    case RefusalReason::OtherIncarnation:
    case RefusalReason::Forgotten:
    case RefusalReason::TargetLost:
        return true;
    default:
        return false;
    }
}

}

CallerSession::CallerSession(const CallerSessionSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_budget(settings.retryBudgetPercent)
{
    while (m_nonce == 0) {
        m_nonce = m_random();
    }
}

// Flow

void CallerSession::open(TimePoint now, CallerActions &actions)
{
    RP_ASSERT(m_state == State::New);
    m_state = State::Opening;
    m_stateDeadline = now + m_settings.openTimeout;
    m_repeat = nextRepeat(now, 0);
    actions.emplace_back(SendToService{Open{m_nonce}});
}

void CallerSession::close(TimePoint now, CallerActions &actions)
{
    if (m_state != State::Opening && m_state != State::Open) {
        return;
    }
    endAllRequests(RefusalReason::Cancelled, actions);
    m_state = State::Closing;
    m_stateDeadline = now + m_settings.closeTimeout;
    m_repeat = nextRepeat(now, 0);
    actions.emplace_back(SendToService{Close{m_nonce}});
}

// Data and requests

std::optional<quint64> CallerSession::sendData(TimePoint now, const QByteArray &payload, CallerActions &actions)
{
    const bool isFull = m_unacknowledged.size() >= m_settings.dataWindow;
    const bool isTooLarge = payload.size() > maximumDataPayloadSize;
    if (!accepts(!isOpen() ? Error::NotOpen : isTooLarge ? Error::TooLarge : isFull ? Error::WindowFull : Error::None)) {
        return std::nullopt;
    }
    m_unacknowledged.push_back(UnacknowledgedData{++m_lastSequence, payload, nextRepeat(now, 0)});
    actions.emplace_back(SendToService{Data{m_nonce, m_lastSequence, payload}});
    return m_lastSequence;
}

std::optional<quint64> CallerSession::sendRequest(TimePoint now, const QByteArray &body, bool isIdempotent, TimePoint deadline, CallerActions &actions)
{
    const bool isFull = m_requests.size() >= m_settings.maximumRequests;
    const bool isTooLarge = body.size() > maximumRequestBodySize;
    const bool isLate = deadline - now < 1ms;
    if (!accepts(!isOpen() ? Error::NotOpen : isTooLarge ? Error::TooLarge : isFull ? Error::WindowFull : isLate ? Error::DeadlinePassed : Error::None)) {
        return std::nullopt;
    }
    m_budget.onRequest();
    PendingRequest request;
    request.id = m_lastNumber + 1;
    request.isIdempotent = isIdempotent;
    request.body = body;
    request.deadline = deadline;
    if (isIdempotent && m_settings.hedgeDelay > Duration::zero()) {
        request.hedgeAt = now + m_settings.hedgeDelay;
    }
    startAttempt(now, request, actions);
    m_requests.push_back(std::move(request));
    return m_requests.back().id;
}

void CallerSession::cancel(TimePoint now, quint64 request, CallerActions &actions)
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(), [request](const PendingRequest &pending) { return pending.id == request; });
    if (found == m_requests.end() || found->isCancelled) {
        return;
    }
    found->isCancelled = true;
    found->hedgeAt.reset();
    if (found->retryAt) {
        found->retryAt.reset();
        endWithoutAnswer(*found, found->reason, actions);
        removeEndedRequests();
        return;
    }
    for (Attempt &attempt : found->attempts) {
        if (attempt.refusal) {
            continue;
        }
        actions.emplace_back(SendToService{Cancel{m_nonce, attempt.number}});
        attempt.repeat = nextRepeat(now, 0);
    }
}

// Events

void CallerSession::onMessage(TimePoint now, const CallerMessage &message, CallerActions &actions)
{
    if (m_state == State::New || nonceOf(message) != m_nonce) {
        return;
    }
    m_keepAliveAt = now + m_settings.keepAliveInterval;
    m_silenceDeadline = now + m_settings.silenceLimit;
    std::visit([&](const auto &body) { handle(now, body, actions); }, message);
}

void CallerSession::onTick(TimePoint now, CallerActions &actions)
{
    switch (m_state) {
    case State::New:
    case State::Ended:
        return;
    case State::Opening:
        if (now >= m_stateDeadline) {
            m_state = State::Ended;
            actions.emplace_back(FlowIsRefused{});
        } else if (isDue(now, m_repeat)) {
            actions.emplace_back(SendToService{Open{m_nonce}});
        }
        return;
    case State::Closing:
        if (now >= m_stateDeadline) {
            m_state = State::Ended;
            actions.emplace_back(FlowIsClosed{});
        } else if (isDue(now, m_repeat)) {
            actions.emplace_back(SendToService{Close{m_nonce}});
        }
        return;
    case State::Open:
        break;
    }
    for (PendingRequest &request : m_requests) {
        advanceRequest(now, request, actions);
    }
    removeEndedRequests();
    if (now >= m_silenceDeadline) {
        m_state = State::Ended;
        endAllRequests(RefusalReason::None, actions);
        actions.emplace_back(FlowIsBroken{});
        return;
    }
    for (UnacknowledgedData &data : m_unacknowledged) {
        if (isDue(now, data.repeat)) {
            actions.emplace_back(SendToService{Data{m_nonce, data.sequence, data.payload}});
        }
    }
    if (now >= m_keepAliveAt) {
        sendKeepAlive(now, actions);
    }
}

// Messages

template <typename Message>
void CallerSession::handle(TimePoint now, const Message &message, CallerActions &actions)
{
    // The other kinds are sent by callers only.
    Q_UNUSED(now)
    Q_UNUSED(message)
    Q_UNUSED(actions)
}

void CallerSession::handle(TimePoint now, const Opened &message, CallerActions &actions)
{
    Q_UNUSED(now)
    if (m_state == State::Ended) {
        // The flow was opened after the caller gave up. Without this message, the owner would keep it until its idle
        // timeout.
        actions.emplace_back(SendToService{Close{m_nonce}});
        return;
    }
    // Two owners may both open the flow. The first one is kept; the other one detects requests that reach it by their
    // flow incarnation.
    if (m_state != State::Opening) {
        return;
    }
    m_state = State::Open;
    m_flowIncarnation = message.flowIncarnation;
    actions.emplace_back(FlowIsOpen{});
}

void CallerSession::handle(TimePoint now, const Data &message, CallerActions &actions)
{
    Q_UNUSED(now)
    if (m_state != State::Open || message.sequence > m_lastDelivered + m_settings.dataWindow) {
        return;
    }
    actions.emplace_back(SendToService{DataAck{m_nonce, message.sequence}});
    if (message.sequence <= m_lastDelivered) {
        return;
    }
    m_outOfOrder.emplace(message.sequence, message.payload);
    while (!m_outOfOrder.empty() && m_outOfOrder.begin()->first == m_lastDelivered + 1) {
        const auto next = m_outOfOrder.extract(m_outOfOrder.begin());
        m_lastDelivered = next.key();
        actions.emplace_back(DataArrived{next.key(), next.mapped()});
    }
}

void CallerSession::handle(TimePoint now, const DataAck &message, CallerActions &actions)
{
    Q_UNUSED(now)
    Q_UNUSED(actions)
    std::erase_if(m_unacknowledged, [&message](const UnacknowledgedData &data) { return data.sequence == message.sequence; });
}

void CallerSession::handle(TimePoint now, const AnswerPart &message, CallerActions &actions)
{
    if (message.number > m_lastNumber || message.parts == 0 || message.parts > AnswerPart::maximumParts) {
        return;
    }
    for (PendingRequest &request : m_requests) {
        for (Attempt &attempt : request.attempts) {
            if (attempt.number != message.number) {
                continue;
            }
            switch (attempt.assembler.add(message)) {
            case AnswerAssembler::Result::Added:
                attempt.partRequestAt = now + m_settings.missingPartDelay;
                break;
            case AnswerAssembler::Result::Completed:
                actions.emplace_back(SendToService{AnswerAck{m_nonce, message.number, attempt.assembler.receivedMask()}});
                endRequest(request, RequestEnding::Answered, RefusalReason::None, *attempt.assembler.body(), actions);
                removeEndedRequests();
                break;
            default:
                break;
            }
            return;
        }
    }
    // The request has already ended, so the owner may discard the answer.
    actions.emplace_back(SendToService{AnswerAck{m_nonce, message.number, AnswerAssembler::fullMask(message.parts)}});
}

void CallerSession::handle(TimePoint now, const Refused &message, CallerActions &actions)
{
    if (message.number == 0) {
        if (m_state == State::Opening && message.outcome == Outcome::NotOpened) {
            m_state = State::Ended;
            actions.emplace_back(FlowIsRefused{message.reason});
        }
        return;
    }
    if (m_state != State::Open || message.outcome == Outcome::NotOpened) {
        return;
    }
    if (message.reason == RefusalReason::OtherIncarnation) {
        sendKeepAlive(now, actions);
    }
    for (PendingRequest &request : m_requests) {
        for (Attempt &attempt : request.attempts) {
            if (attempt.number != message.number || attempt.refusal) {
                continue;
            }
            attempt.refusal = message.outcome;
            request.reason = message.reason;
            handleRefusal(now, request, actions);
            removeEndedRequests();
            return;
        }
    }
}

void CallerSession::handle(TimePoint now, const Closed &message, CallerActions &actions)
{
    Q_UNUSED(now)
    Q_UNUSED(message)
    if (m_state != State::Open && m_state != State::Closing) {
        return;
    }
    m_state = State::Ended;
    endAllRequests(RefusalReason::Cancelled, actions);
    actions.emplace_back(FlowIsClosed{});
}

void CallerSession::handle(TimePoint now, const Reset &message, CallerActions &actions)
{
    Q_UNUSED(now)
    if (m_state != State::Open && m_state != State::Closing) {
        return;
    }
    m_state = State::Ended;
    endAllRequests(message.reason, actions);
    actions.emplace_back(FlowIsBroken{message.reason});
}

void CallerSession::handle(TimePoint now, const Rebound &message, CallerActions &actions)
{
    Q_UNUSED(now)
    Q_UNUSED(actions)
    if (m_state != State::Open) {
        return;
    }
    if (message.flowIncarnation == m_flowIncarnation) {
        m_returningIncarnation = Incarnation{};
        return;
    }
    // A delayed Rebound must not restore an earlier incarnation. An earlier incarnation that is announced twice in a
    // row is in force: the flow has returned to an owner that had lost it for a while.
    const bool isEarlier = std::find(m_earlierIncarnations.begin(), m_earlierIncarnations.end(), message.flowIncarnation) != m_earlierIncarnations.end();
    if (isEarlier && m_returningIncarnation != message.flowIncarnation) {
        m_returningIncarnation = message.flowIncarnation;
        return;
    }
    m_returningIncarnation = Incarnation{};
    std::erase(m_earlierIncarnations, message.flowIncarnation);
    m_earlierIncarnations.push_back(m_flowIncarnation);
    if (m_earlierIncarnations.size() > maximumEarlierIncarnations) {
        m_earlierIncarnations.erase(m_earlierIncarnations.begin());
    }
    m_flowIncarnation = message.flowIncarnation;
}

// Repeats

CallerSession::Repeat CallerSession::nextRepeat(TimePoint now, int count) const
{
    return Repeat{now + m_settings.repeatInterval * (1 << std::min(count, repeatDoublings)), count + 1};
}

bool CallerSession::isDue(TimePoint now, Repeat &repeat) const
{
    if (now < repeat.at) {
        return false;
    }
    repeat = nextRepeat(now, repeat.count);
    return true;
}

bool CallerSession::accepts(Error error)
{
    m_lastError = error;
    return error == Error::None;
}

// Requests

void CallerSession::startAttempt(TimePoint now, PendingRequest &request, CallerActions &actions)
{
    const quint64 number = ++m_lastNumber;
    request.attempts.push_back(Attempt{number, m_flowIncarnation, std::nullopt, nextRepeat(now, 0), AnswerAssembler(m_nonce, number), std::nullopt});
    sendAttempt(now, request, request.attempts.back(), actions);
}

void CallerSession::sendAttempt(TimePoint now, const PendingRequest &request, const Attempt &attempt, CallerActions &actions) const
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now).count();
    if (remaining < 1) {
        return;
    }
    const auto milliseconds = static_cast<quint32>(std::min<qint64>(remaining, std::numeric_limits<quint32>::max()));
    actions.emplace_back(SendToService{Request{m_nonce, attempt.number, request.isIdempotent, milliseconds, attempt.flowIncarnation, request.body}});
}

void CallerSession::advanceRequest(TimePoint now, PendingRequest &request, CallerActions &actions)
{
    if (now >= request.deadline) {
        endWithoutAnswer(request, RefusalReason::DeadlinePassed, actions);
        return;
    }
    for (Attempt &attempt : request.attempts) {
        if (attempt.refusal) {
            continue;
        }
        if (attempt.partRequestAt) {
            if (now >= *attempt.partRequestAt) {
                attempt.partRequestAt = now + m_settings.repeatInterval;
                actions.emplace_back(SendToService{AnswerAck{m_nonce, attempt.number, attempt.assembler.receivedMask()}});
            }
            continue;
        }
        if (!isDue(now, attempt.repeat)) {
            continue;
        }
        // The cancellation is sent first; the owner answers the repeated request with its outcome.
        if (request.isCancelled) {
            actions.emplace_back(SendToService{Cancel{m_nonce, attempt.number}});
        }
        sendAttempt(now, request, attempt, actions);
    }
    if (request.retryAt && now >= *request.retryAt) {
        request.retryAt.reset();
        startAttempt(now, request, actions);
        return;
    }
    if (request.hedgeAt && now >= *request.hedgeAt) {
        request.hedgeAt.reset();
        const bool isUnanswered = request.attempts.size() == 1 && !request.attempts.front().refusal && !request.attempts.front().partRequestAt;
        if (isUnanswered && request.attempts.size() < m_settings.maximumAttempts && m_budget.tryTake()) {
            startAttempt(now, request, actions);
        }
    }
}

void CallerSession::handleRefusal(TimePoint now, PendingRequest &request, CallerActions &actions)
{
    const bool hasPendingAttempt = std::any_of(request.attempts.begin(), request.attempts.end(), [](const Attempt &attempt) { return !attempt.refusal; });
    if (hasPendingAttempt || request.retryAt) {
        return;
    }
    if (mayRetry(now, request) && m_budget.tryTake()) {
        const auto mean = m_settings.retryDelay * (1 << std::min<std::size_t>(request.attempts.size() - 1, repeatDoublings));
        std::uniform_int_distribution<Duration::rep> jitter(mean.count() / 2, mean.count() * 3 / 2);
        request.retryAt = now + Duration(jitter(m_random));
        return;
    }
    endWithoutAnswer(request, request.reason, actions);
}

bool CallerSession::mayRetry(TimePoint now, const PendingRequest &request) const
{
    return request.isIdempotent && !request.isCancelled && isTransient(request.reason) && request.attempts.size() < m_settings.maximumAttempts
           && now + m_settings.retryDelay < request.deadline;
}

void CallerSession::endRequest(PendingRequest &request, RequestEnding ending, RefusalReason reason, const QByteArray &body, CallerActions &actions)
{
    for (const Attempt &attempt : request.attempts) {
        if (!attempt.refusal && !attempt.assembler.isComplete()) {
            actions.emplace_back(SendToService{Cancel{m_nonce, attempt.number}});
        }
    }
    actions.emplace_back(RequestEnded{request.id, ending, reason, body});
    // An empty list of attempts marks the request as ended until it is removed.
    request.attempts.clear();
}

void CallerSession::endWithoutAnswer(PendingRequest &request, RefusalReason reason, CallerActions &actions)
{
    const bool isNotRun =
        std::all_of(request.attempts.begin(), request.attempts.end(), [](const Attempt &attempt) { return attempt.refusal == Outcome::NotRun; });
    const RefusalReason reported = isNotRun ? request.reason : reason;
    endRequest(request, isNotRun ? RequestEnding::NotRun : RequestEnding::OutcomeUnknown, reported, {}, actions);
}

void CallerSession::endAllRequests(RefusalReason reason, CallerActions &actions)
{
    for (PendingRequest &request : m_requests) {
        endWithoutAnswer(request, reason, actions);
    }
    m_requests.clear();
}

void CallerSession::removeEndedRequests()
{
    std::erase_if(m_requests, [](const PendingRequest &request) { return request.attempts.empty(); });
}

void CallerSession::sendKeepAlive(TimePoint now, CallerActions &actions)
{
    m_keepAliveAt = now + m_settings.keepAliveInterval;
    actions.emplace_back(SendToService{KeepAlive{m_nonce}});
}

}
