#include "agent/requesttable.h"

#include "agent/flowrequests.h"
#include "agent/refusaldetail.h"
#include "agent/requestqueue.h"
#include "agent/targetslot.h"
#include "caller/callermessagecodec.h"
#include "core/assertion.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Rattanpick
{

namespace
{

// Answers are sent again after 1, 2, 4 and then always 8 times the first interval, which limits the traffic to a caller
// that has gone.
constexpr quint32 repeatDoublings = 3;

std::chrono::milliseconds millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

/// When the unacknowledged parts of an answer are to be sent again.
struct AnswerRepeat
{
    TimePoint at{};
    RequestId id;

    // Reversed order: the heap functions keep the greatest element on top, which must be the earliest repeat.
    bool operator<(const AnswerRepeat &other) const
    {
        return at > other.at;
    }
};

/// An answer that is retained for repeated requests. The queue of these is in the order of completion.
struct KeptAnswer
{
    TimePoint until{};
    RequestId id;
};

/// The requests of a flow of another owner.
struct RetriedFlow
{
    FlowRequests requests;
    TimePoint expiresAt{};
};

}

class RequestTable::Private
{
public:
    explicit Private(const RequestTableSettings &tableSettings)
        : settings(tableSettings)
        , ramp(tableSettings.ramp)
        , load(tableSettings.loadTimeConstant)
        , budget(tableSettings.retryBudgetPercent)
        , queue(tableSettings.fairnessLimit)
        , slotCount(std::max<quint32>(tableSettings.slotCount, 1))
    {
        RP_ASSERT(settings.keptRequestsPerFlow >= 1);
        ramp.setLimits(
            slotCount, settings.ramp.coldSharePercent, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(settings.ramp.warmTime).count()));
    }

    // Lookup
    FlowRequests *ownedFlow(const FlowKey &flow, quint64 nonce);
    FlowRequests *anyFlow(const FlowKey &flow, quint64 nonce);
    RequestRecord *recordOf(const RequestId &id);
    RequestRecord *recordOf(const TargetSlot &slot);
    TargetSlot *slotOf(const RequestId &id);

    // Arrival
    void accept(TimePoint now, FlowRequests &requests, const RequestId &id, RequestRecord &record, const Request &request, AgentActions &actions);
    void onRepeated(const RequestId &id, RequestRecord &record, AgentActions &actions);
    void refuseOtherIncarnation(FlowRequests &requests, const RequestId &id, AgentActions &actions);
    void runCopy(TimePoint now, FlowRequests &requests, const RequestId &id, const Request &request, AgentActions &actions);
    bool canFinishInTime(TimePoint now, TimePoint deadline, bool isIdempotent) const;
    TimePoint retriesFrom(TimePoint now);

    // Endings
    void refuse(const RequestId &id, RequestRecord &record, RefusalReason reason, Outcome outcome, AgentActions &actions);
    void shed(TimePoint now, const RequestId &id, RequestRecord &record, AgentActions &actions);
    void handOver(TimePoint now, const RequestId &id, RequestRecord &record, AgentActions &actions);
    void repeatRefusal(const RequestId &id, const RequestRecord &record, AgentActions &actions) const;
    void beginCancel(TimePoint now, TargetSlot &slot, RefusalReason reason, AgentActions &actions) const;
    void detachSlots(const FlowKey &flow);
    void evict(FlowRequests &requests);

    // Answers
    void sendMissingParts(const RequestId &id, const RequestRecord &record, AgentActions &actions) const;
    void completeAnswer(TimePoint now, const RequestId &id, RequestRecord &record, AgentActions &actions);
    void dropAnswer(RequestRecord &record);
    void repeatAnswers(TimePoint now, AgentActions &actions);
    void dropOldAnswers(TimePoint now);

    // Target
    void deliver(TimePoint now, AgentActions &actions);
    void freeSlot(TargetSlot &slot);
    void expireQueued(TimePoint now, AgentActions &actions);
    void stepSlots(TimePoint now, AgentActions &actions);
    void expireRetriedFlows(TimePoint now);
    void finishStep(TimePoint now, AgentActions &actions);

    RequestTableSettings settings;
    ColdStartRamp ramp;
    LoadEstimator load;
    RetryBudget budget;
    RequestQueue queue;
    std::vector<TargetSlot> slots;
    std::unordered_map<FlowKey, FlowRequests> flows;
    std::unordered_map<FlowKey, RetriedFlow> retriedFlows;
    std::vector<AnswerRepeat> answerRepeats;
    std::deque<KeptAnswer> keptAnswers;
    std::size_t answerBytes = 0;
    quint32 slotCount;
    RefusalReason refusalForNew = RefusalReason::None;
    /// Earliest time at which handed-over requests are run; set by the first event.
    std::optional<TimePoint> firstRetryAt;
    bool isTargetJustLost = false;
    bool wasWarm = false;
    quint64 seenColdTurns = 0;
};

// Lookup

FlowRequests *RequestTable::Private::ownedFlow(const FlowKey &flow, quint64 nonce)
{
    const auto found = flows.find(flow);
    return found != flows.end() && found->second.nonce() == nonce ? &found->second : nullptr;
}

FlowRequests *RequestTable::Private::anyFlow(const FlowKey &flow, quint64 nonce)
{
    if (FlowRequests *const owned = ownedFlow(flow, nonce)) {
        return owned;
    }
    const auto found = retriedFlows.find(flow);
    return found != retriedFlows.end() && found->second.requests.nonce() == nonce ? &found->second.requests : nullptr;
}

RequestRecord *RequestTable::Private::recordOf(const RequestId &id)
{
    FlowRequests *const requests = anyFlow(id.flow, id.nonce);
    return requests ? requests->find(id.number) : nullptr;
}

RequestRecord *RequestTable::Private::recordOf(const TargetSlot &slot)
{
    return slot.isDetached ? nullptr : recordOf(slot.id);
}

TargetSlot *RequestTable::Private::slotOf(const RequestId &id)
{
    const auto found = std::find_if(slots.begin(), slots.end(), [&id](const TargetSlot &slot) { return slot.id == id; });
    return found != slots.end() ? &*found : nullptr;
}

// Arrival

void RequestTable::Private::accept(TimePoint now,
                                   FlowRequests &requests,
                                   const RequestId &id,
                                   RequestRecord &record,
                                   const Request &request,
                                   AgentActions &actions)
{
    record.isIdempotent = request.isIdempotent;
    record.flowIncarnation = request.flowIncarnation;
    record.deadline = now + std::chrono::milliseconds(request.remainingMilliseconds);
    // Requests that may start now leave the queue first, so that canFinishInTime() does not count them as waiting.
    deliver(now, actions);
    if (request.remainingMilliseconds == 0) {
        refuse(id, record, RefusalReason::DeadlinePassed, Outcome::NotRun, actions);
    } else if (refusalForNew != RefusalReason::None) {
        refuse(id, record, refusalForNew, Outcome::NotRun, actions);
    } else if (record.body = request.body;
               queue.size() >= std::size_t{slotCount} * settings.queuePerSlot || !canFinishInTime(now, record.deadline, request.isIdempotent)) {
        shed(now, id, record, actions);
    } else {
        record.state = RequestState::Queued;
        queue.append(id, request.isIdempotent);
    }
    evict(requests);
    finishStep(now, actions);
}

void RequestTable::Private::onRepeated(const RequestId &id, RequestRecord &record, AgentActions &actions)
{
    actions.emplace_back(RecordEvent{EventNumber::RequestRepeated, id.flow, id.number, {}});
    switch (record.state) {
    case RequestState::CancelledBeforeArrival:
        refuse(id, record, RefusalReason::Cancelled, Outcome::NotRun, actions);
        return;
    case RequestState::Queued:
        return;
    case RequestState::Delivered:
        sendMissingParts(id, record, actions);
        return;
    case RequestState::Answered:
        if (record.isAcknowledged()) {
            return;
        }
        if (record.answer.empty()) {
            actions.emplace_back(SendToCaller{id.flow, Refused{id.nonce, id.number, RefusalReason::Forgotten, Outcome::OutcomeUnknown}});
            return;
        }
        sendMissingParts(id, record, actions);
        return;
    case RequestState::NotRun:
    case RequestState::OutcomeUnknown:
        repeatRefusal(id, record, actions);
        return;
    case RequestState::HandedOver:
        // A second hand-over could reach a third agent, and the caller would combine parts of two runs into one answer.
        return;
    }
}

void RequestTable::Private::refuseOtherIncarnation(FlowRequests &requests, const RequestId &id, AgentActions &actions)
{
    // An earlier process of this agent, or another owner, may have run the request or refused it as not run. A run here
    // would contradict that result, so even idempotent requests are not run.
    if (!requests.find(id.number) && !requests.isEvicted(id.number)) {
        refuse(id, requests.append(id.number), RefusalReason::OtherIncarnation, Outcome::OutcomeUnknown, actions);
        evict(requests);
        return;
    }
    actions.emplace_back(SendToCaller{id.flow, Refused{id.nonce, id.number, RefusalReason::OtherIncarnation, Outcome::OutcomeUnknown}});
}

void RequestTable::Private::runCopy(TimePoint now, FlowRequests &requests, const RequestId &id, const Request &request, AgentActions &actions)
{
    RequestRecord *record = requests.find(id.number);
    if (record && record->isInProgress()) {
        actions.emplace_back(SendToTarget{TargetRequest{id.flow, id.nonce, id.number, request.remainingMilliseconds, request.body}});
        return;
    }
    if (!record) {
        record = &requests.append(id.number);
    } else {
        dropAnswer(*record);
        *record = RequestRecord{};
        record->number = id.number;
    }
    accept(now, requests, id, *record, request, actions);
}

bool RequestTable::Private::canFinishInTime(TimePoint now, TimePoint deadline, bool isIdempotent) const
{
    const auto serviceTime = ramp.meanServiceTime();
    if (!serviceTime) {
        return true;
    }
    const std::size_t concurrency = ramp.permittedConcurrency();
    const std::size_t ahead = queue.sizeBefore(isIdempotent) + slots.size();
    const std::size_t endsBefore = ahead >= concurrency ? ahead - concurrency + 1 : 0;
    TimePoint start = now + *serviceTime * static_cast<qint64>(endsBefore) / static_cast<qint64>(concurrency);
    if (ramp.lastStart()) {
        const auto startsBefore = static_cast<qint64>(queue.sizeBefore(isIdempotent)) + 1;
        start = std::max<TimePoint>(start, *ramp.lastStart() + ramp.startInterval() * startsBefore);
    }
    // A request that can start at once is always accepted, since only its response can show that the target has become
    // faster.
    return start <= now || start + *serviceTime <= deadline;
}

TimePoint RequestTable::Private::retriesFrom(TimePoint now)
{
    if (!firstRetryAt) {
        firstRetryAt = now + settings.retrySettling;
    }
    return *firstRetryAt;
}

// Endings

void RequestTable::Private::refuse(const RequestId &id, RequestRecord &record, RefusalReason reason, Outcome outcome, AgentActions &actions)
{
    const bool hasAnswerPart = record.received != 0;
    const bool isNotRun = outcome == Outcome::NotRun && !record.isRetried && !hasAnswerPart;
    record.state = isNotRun ? RequestState::NotRun : RequestState::OutcomeUnknown;
    record.reason = reason;
    record.body = QByteArray();
    dropAnswer(record);
    repeatRefusal(id, record, actions);
    const EventNumber event = isNotRun ? EventNumber::RequestNotRun : EventNumber::RequestOutcomeUnknown;
    actions.emplace_back(RecordEvent{event, id.flow, id.number, refusalDetail(reason)});
}

void RequestTable::Private::shed(TimePoint now, const RequestId &id, RequestRecord &record, AgentActions &actions)
{
    if (record.isIdempotent && !record.isRetried && record.deadline > now && budget.tryTake()) {
        handOver(now, id, record, actions);
        return;
    }
    refuse(id, record, RefusalReason::Overloaded, Outcome::NotRun, actions);
}

void RequestTable::Private::handOver(TimePoint now, const RequestId &id, RequestRecord &record, AgentActions &actions)
{
    RP_ASSERT(record.isIdempotent && !record.isRetried);
    record.state = RequestState::HandedOver;
    const auto remaining = static_cast<quint32>(std::max<qint64>(1, millisecondsBetween(now, record.deadline).count()));
    actions.emplace_back(
        RetryElsewhere{id.flow, Request{id.nonce, id.number, true, remaining, record.flowIncarnation, std::exchange(record.body, QByteArray())}});
}

void RequestTable::Private::repeatRefusal(const RequestId &id, const RequestRecord &record, AgentActions &actions) const
{
    const Outcome outcome = record.state == RequestState::NotRun ? Outcome::NotRun : Outcome::OutcomeUnknown;
    actions.emplace_back(SendToCaller{id.flow, Refused{id.nonce, id.number, record.reason, outcome}});
}

void RequestTable::Private::beginCancel(TimePoint now, TargetSlot &slot, RefusalReason reason, AgentActions &actions) const
{
    slot.isCancelling = true;
    slot.cancelReason = reason;
    slot.reportAt = now + settings.cancelGrace;
    slot.repeatAt = now + settings.cancelRepeat;
    slot.releaseAt = now + settings.slotRelease;
    actions.emplace_back(SendToTarget{TargetCancel{slot.id.flow, slot.id.nonce, slot.id.number}});
}

void RequestTable::Private::detachSlots(const FlowKey &flow)
{
    for (TargetSlot &slot : slots) {
        if (slot.id.flow != flow || slot.isDetached) {
            continue;
        }
        slot.isDetached = true;
        if (!slot.isCancelling) {
            // The deadline counts as passed, so that the next step cancels the request.
            slot.deadline = TimePoint::min();
        }
    }
}

void RequestTable::Private::evict(FlowRequests &requests)
{
    if (settings.duplicates == DuplicateStrategy::RunEveryCopy) {
        return;
    }
    while (auto record = requests.evict(settings.keptRequestsPerFlow)) {
        dropAnswer(*record);
    }
}

// Answers

void RequestTable::Private::sendMissingParts(const RequestId &id, const RequestRecord &record, AgentActions &actions) const
{
    if (record.answer.empty()) {
        return;
    }
    for (quint64 missing = record.received & ~record.acknowledged; missing != 0; missing &= missing - 1) {
        const auto part = static_cast<quint16>(std::countr_zero(missing));
        actions.emplace_back(SendToCaller{id.flow, AnswerPart{id.nonce, id.number, part, record.parts, record.answer[part]}});
    }
}

void RequestTable::Private::completeAnswer(TimePoint now, const RequestId &id, RequestRecord &record, AgentActions &actions)
{
    record.state = RequestState::Answered;
    record.body = QByteArray();
    record.keptUntil = now + settings.answerRetention;
    actions.emplace_back(RecordEvent{EventNumber::RequestAnswered, id.flow, id.number, {}});
    if (record.isAcknowledged()) {
        dropAnswer(record);
        return;
    }
    keptAnswers.push_back(KeptAnswer{record.keptUntil, id});
    answerRepeats.push_back(AnswerRepeat{now + settings.answerRepeat, id});
    std::push_heap(answerRepeats.begin(), answerRepeats.end());
}

void RequestTable::Private::dropAnswer(RequestRecord &record)
{
    for (const QByteArray &part : record.answer) {
        answerBytes -= static_cast<std::size_t>(part.size());
    }
    record.answer = {};
}

void RequestTable::Private::repeatAnswers(TimePoint now, AgentActions &actions)
{
    while (!answerRepeats.empty() && answerRepeats.front().at <= now) {
        std::pop_heap(answerRepeats.begin(), answerRepeats.end());
        AnswerRepeat repeat = answerRepeats.back();
        answerRepeats.pop_back();
        RequestRecord *const record = recordOf(repeat.id);
        if (!record || record->state != RequestState::Answered || record->isAcknowledged() || record->answer.empty()) {
            continue;
        }
        sendMissingParts(repeat.id, *record, actions);
        ++record->repeats;
        if (record->isRetried && record->repeats >= settings.retriedAnswerRepeats) {
            continue;
        }
        repeat.at = now + settings.answerRepeat * (1 << std::min(record->repeats, repeatDoublings));
        answerRepeats.push_back(repeat);
        std::push_heap(answerRepeats.begin(), answerRepeats.end());
    }
}

void RequestTable::Private::dropOldAnswers(TimePoint now)
{
    while (!keptAnswers.empty() && (keptAnswers.front().until <= now || answerBytes > settings.keptAnswerBytes)) {
        if (RequestRecord *const record = recordOf(keptAnswers.front().id); record && record->state == RequestState::Answered) {
            dropAnswer(*record);
        }
        keptAnswers.pop_front();
    }
}

// Target

void RequestTable::Private::deliver(TimePoint now, AgentActions &actions)
{
    while (!isTargetJustLost && queue.size() > 0 && ramp.mayStart(now, slots.size())) {
        const auto id = queue.takeNext();
        RequestRecord *const record = recordOf(*id);
        RP_ASSERT(record && record->state == RequestState::Queued);
        if (record->deadline <= now) {
            refuse(*id, *record, RefusalReason::DeadlinePassed, Outcome::NotRun, actions);
            continue;
        }
        record->state = RequestState::Delivered;
        TargetSlot slot;
        slot.id = *id;
        slot.deliveredAt = now;
        slot.isOverlapping = !slots.empty();
        slot.deadline = record->deadline;
        slots.push_back(slot);
        ramp.onStart(now);
        const auto remaining = static_cast<quint32>(std::max<qint64>(1, millisecondsBetween(now, record->deadline).count()));
        actions.emplace_back(SendToTarget{TargetRequest{id->flow, id->nonce, id->number, remaining, record->body}});
        actions.emplace_back(RecordEvent{EventNumber::RequestDelivered, id->flow, id->number, {}});
        if (!record->isIdempotent) {
            record->body = QByteArray();
        }
    }
}

void RequestTable::Private::freeSlot(TargetSlot &slot)
{
    slot = slots.back();
    slots.pop_back();
}

void RequestTable::Private::expireQueued(TimePoint now, AgentActions &actions)
{
    queue.removeIf([&](const RequestId &id) {
        RequestRecord *const record = recordOf(id);
        RP_ASSERT(record && record->state == RequestState::Queued);
        if (record->deadline > now) {
            return false;
        }
        refuse(id, *record, RefusalReason::DeadlinePassed, Outcome::NotRun, actions);
        return true;
    });
}

void RequestTable::Private::stepSlots(TimePoint now, AgentActions &actions)
{
    for (std::size_t index = slots.size(); index-- > 0;) {
        TargetSlot &slot = slots[index];
        if (!slot.isCancelling && slot.deadline <= now) {
            if (!slot.isDetached) {
                ramp.onNoAnswer(now, now - slot.deliveredAt);
            }
            beginCancel(now, slot, RefusalReason::TargetTimeout, actions);
        }
        if (!slot.isCancelling) {
            continue;
        }
        RequestRecord *const record = recordOf(slot);
        if (slot.reportAt <= now && record && record->state == RequestState::Delivered) {
            refuse(slot.id, *record, slot.cancelReason, Outcome::OutcomeUnknown, actions);
        }
        if (slot.releaseAt <= now) {
            freeSlot(slot);
            continue;
        }
        if (slot.repeatAt <= now) {
            slot.repeatAt = now + settings.cancelRepeat;
            actions.emplace_back(SendToTarget{TargetCancel{slot.id.flow, slot.id.nonce, slot.id.number}});
        }
    }
}

void RequestTable::Private::expireRetriedFlows(TimePoint now)
{
    for (auto flow = retriedFlows.begin(); flow != retriedFlows.end();) {
        if (flow->second.expiresAt > now) {
            ++flow;
            continue;
        }
        auto &records = flow->second.requests.records();
        if (std::any_of(records.begin(), records.end(), [](const RequestRecord &record) { return record.isInProgress(); })) {
            ++flow;
            continue;
        }
        for (RequestRecord &record : records) {
            dropAnswer(record);
        }
        detachSlots(flow->first);
        flow = retriedFlows.erase(flow);
    }
}

void RequestTable::Private::finishStep(TimePoint now, AgentActions &actions)
{
    retriesFrom(now);
    deliver(now, actions);
    if (ramp.coldTurns() != seenColdTurns) {
        seenColdTurns = ramp.coldTurns();
        actions.emplace_back(RecordEvent{EventNumber::TargetCold, {}, 0, {}});
    }
    if (ramp.isWarm() && !wasWarm) {
        actions.emplace_back(RecordEvent{EventNumber::TargetWarm, {}, 0, {}});
    }
    wasWarm = ramp.isWarm();
    load.setOccupancy(now, slots.size() + queue.size(), slotCount * ramp.share());
}

RequestTable::RequestTable(const RequestTableSettings &settings)
    : m_d(std::make_unique<Private>(settings))
{
}

RequestTable::~RequestTable() = default;

// Flows

void RequestTable::openFlow(const FlowKey &flow, quint64 nonce, Incarnation flowIncarnation, bool isRecovered)
{
    // Requests of an earlier process carry an earlier flow incarnation, so a recovered flow is handled like a new one.
    Q_UNUSED(isRecovered)
    if (FlowRequests *const known = m_d->ownedFlow(flow, nonce)) {
        known->setFlowIncarnation(flowIncarnation);
        return;
    }
    // A new nonce on the same addresses is a new flow; no message of the earlier flow may reach its caller.
    const auto dropAnswers = [this](FlowRequests &requests) {
        for (RequestRecord &record : requests.records()) {
            m_d->dropAnswer(record);
        }
    };
    if (const auto earlier = m_d->flows.find(flow); earlier != m_d->flows.end()) {
        dropAnswers(earlier->second);
        m_d->flows.erase(earlier);
    }
    if (const auto retried = m_d->retriedFlows.find(flow); retried != m_d->retriedFlows.end()) {
        dropAnswers(retried->second.requests);
        m_d->retriedFlows.erase(retried);
    }
    m_d->queue.removeIf([&flow](const RequestId &id) { return id.flow == flow; });
    m_d->detachSlots(flow);
    m_d->flows.emplace(flow, FlowRequests(nonce, flowIncarnation));
}

void RequestTable::closeFlow(TimePoint now, const FlowKey &flow, AgentActions &actions)
{
    const auto found = m_d->flows.find(flow);
    if (found == m_d->flows.end()) {
        return;
    }
    FlowRequests &requests = found->second;
    const RefusalReason reason = m_d->isTargetJustLost ? RefusalReason::TargetLost : RefusalReason::Cancelled;
    m_d->queue.removeIf([&flow](const RequestId &id) { return id.flow == flow; });
    for (TargetSlot &slot : m_d->slots) {
        if (slot.id.flow == flow && !slot.isDetached && !slot.isCancelling) {
            m_d->beginCancel(now, slot, reason, actions);
        }
    }
    for (RequestRecord &record : requests.records()) {
        if (record.isInProgress()) {
            const Outcome outcome = record.state == RequestState::Queued ? Outcome::NotRun : Outcome::OutcomeUnknown;
            m_d->refuse(RequestId{flow, requests.nonce(), record.number}, record, reason, outcome, actions);
        }
        m_d->dropAnswer(record);
    }
    m_d->detachSlots(flow);
    m_d->flows.erase(found);
}

// Requests

void RequestTable::onRequest(TimePoint now, const FlowKey &flow, const Request &request, AgentActions &actions)
{
    FlowRequests *const requests = m_d->ownedFlow(flow, request.nonce);
    if (!requests) {
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    const RequestId id{flow, request.nonce, request.number};
    if (m_d->settings.duplicates == DuplicateStrategy::RunEveryCopy) {
        m_d->runCopy(now, *requests, id, request, actions);
        return;
    }
    RequestRecord *const record = requests->find(request.number);
    const bool isKnownCopy = record && record->flowIncarnation == request.flowIncarnation;
    if (!isKnownCopy && request.flowIncarnation != requests->flowIncarnation()) {
        m_d->refuseOtherIncarnation(*requests, id, actions);
        return;
    }
    if (record) {
        m_d->onRepeated(id, *record, actions);
        return;
    }
    if (requests->isEvicted(request.number)) {
        actions.emplace_back(SendToCaller{flow, Refused{request.nonce, request.number, RefusalReason::Forgotten, Outcome::OutcomeUnknown}});
        actions.emplace_back(RecordEvent{EventNumber::RequestOutcomeUnknown, flow, request.number, refusalDetail(RefusalReason::Forgotten)});
        return;
    }
    m_d->budget.onRequest();
    m_d->accept(now, *requests, id, requests->append(request.number), request, actions);
}

void RequestTable::onRetriedRequest(TimePoint now, const FlowKey &flow, const Request &request, AgentActions &actions)
{
    // An owner hands over only idempotent requests, and never to itself; any other message is outdated or invalid.
    if (!request.isIdempotent || m_d->flows.contains(flow)) {
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    if (now < m_d->retriesFrom(now)) {
        actions.emplace_back(SendToCaller{flow, Refused{request.nonce, request.number, RefusalReason::Recovering, Outcome::OutcomeUnknown}});
        return;
    }
    auto found = m_d->retriedFlows.find(flow);
    if (found != m_d->retriedFlows.end() && found->second.requests.nonce() != request.nonce) {
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    if (found == m_d->retriedFlows.end()) {
        if (m_d->retriedFlows.size() >= m_d->settings.retriedFlows) {
            actions.emplace_back(CountDrop{DropReason::QueueFull});
            return;
        }
        found = m_d->retriedFlows.emplace(flow, RetriedFlow{FlowRequests(request.nonce, request.flowIncarnation), now}).first;
    }
    // Retained beyond the deadline of every request: by then the caller no longer accepts an answer of a copy that runs
    // again.
    const TimePoint deadline = now + std::chrono::milliseconds(request.remainingMilliseconds);
    found->second.expiresAt = std::max(found->second.expiresAt, deadline + m_d->settings.retriedFlowRetention);
    FlowRequests &requests = found->second.requests;
    const RequestId id{flow, request.nonce, request.number};
    if (RequestRecord *const record = requests.find(request.number)) {
        m_d->onRepeated(id, *record, actions);
        return;
    }
    if (requests.isEvicted(request.number)) {
        actions.emplace_back(SendToCaller{flow, Refused{request.nonce, request.number, RefusalReason::Forgotten, Outcome::OutcomeUnknown}});
        return;
    }
    RequestRecord &record = requests.append(request.number);
    record.isRetried = true;
    m_d->accept(now, requests, id, record, request, actions);
}

void RequestTable::onRetryNotPlaced(TimePoint now, const FlowKey &flow, quint64 nonce, quint64 number, AgentActions &actions)
{
    const RequestId id{flow, nonce, number};
    RequestRecord *const record = m_d->recordOf(id);
    if (!record || record->state != RequestState::HandedOver) {
        return;
    }
    m_d->refuse(id, *record, RefusalReason::Overloaded, Outcome::NotRun, actions);
    m_d->finishStep(now, actions);
}

void RequestTable::onCancel(TimePoint now, const FlowKey &flow, const Cancel &cancel, AgentActions &actions)
{
    FlowRequests *const requests = m_d->ownedFlow(flow, cancel.nonce);
    if (!requests) {
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    const RequestId id{flow, cancel.nonce, cancel.number};
    RequestRecord *const record = requests->find(cancel.number);
    if (!record) {
        if (requests->isEvicted(cancel.number)) {
            actions.emplace_back(SendToCaller{flow, Refused{cancel.nonce, cancel.number, RefusalReason::Forgotten, Outcome::OutcomeUnknown}});
            return;
        }
        // No refusal is sent yet: the flow incarnation of the request is unknown, and another owner may have run it.
        requests->append(cancel.number).state = RequestState::CancelledBeforeArrival;
        actions.emplace_back(RecordEvent{EventNumber::RequestCancelled, flow, cancel.number, {}});
        m_d->evict(*requests);
        return;
    }
    switch (record->state) {
    case RequestState::CancelledBeforeArrival:
        return;
    case RequestState::Queued:
        m_d->queue.removeIf([&id](const RequestId &waiting) { return waiting == id; });
        actions.emplace_back(RecordEvent{EventNumber::RequestCancelled, flow, cancel.number, {}});
        m_d->refuse(id, *record, RefusalReason::Cancelled, Outcome::NotRun, actions);
        break;
    case RequestState::Delivered:
        if (TargetSlot *const slot = m_d->slotOf(id); slot && !slot->isCancelling) {
            actions.emplace_back(RecordEvent{EventNumber::RequestCancelled, flow, cancel.number, {}});
            m_d->beginCancel(now, *slot, RefusalReason::Cancelled, actions);
        }
        break;
    case RequestState::HandedOver:
        m_d->refuse(id, *record, RefusalReason::Cancelled, Outcome::OutcomeUnknown, actions);
        break;
    case RequestState::Answered:
        m_d->sendMissingParts(id, *record, actions);
        break;
    case RequestState::NotRun:
    case RequestState::OutcomeUnknown:
        m_d->repeatRefusal(id, *record, actions);
        break;
    }
    m_d->finishStep(now, actions);
}

void RequestTable::onAnswerAck(TimePoint now, const FlowKey &flow, const AnswerAck &ack, AgentActions &actions)
{
    Q_UNUSED(now)
    const RequestId id{flow, ack.nonce, ack.number};
    RequestRecord *const record = m_d->recordOf(id);
    if (!record) {
        return;
    }
    record->acknowledged |= ack.receivedMask & record->received;
    if (record->isAcknowledged()) {
        m_d->dropAnswer(*record);
        return;
    }
    m_d->sendMissingParts(id, *record, actions);
}

// Target

void RequestTable::onTargetAnswerPart(TimePoint now, const TargetAnswerPart &part, AgentActions &actions)
{
    const RequestId id{part.flow, part.nonce, part.number};
    TargetSlot *const slot = m_d->slotOf(id);
    const bool isWellFormed = part.parts >= 1 && part.parts <= AnswerPart::maximumParts && part.part < part.parts && part.body.size() <= maximumAnswerBodySize;
    if (!slot || !isWellFormed || (slot->parts != 0 && slot->parts != part.parts) || (slot->received >> part.part & 1) != 0) {
        return;
    }
    slot->parts = part.parts;
    slot->received |= quint64{1} << part.part;
    RequestRecord *const record = m_d->recordOf(*slot);
    const bool isOpen = record && record->state == RequestState::Delivered;
    if (isOpen) {
        record->parts = part.parts;
        record->answer.resize(part.parts);
        record->answer[part.part] = part.body;
        record->received = slot->received;
        m_d->answerBytes += static_cast<std::size_t>(part.body.size());
        actions.emplace_back(SendToCaller{part.flow, AnswerPart{part.nonce, part.number, part.part, part.parts, part.body}});
    }
    if (!slot->isComplete()) {
        return;
    }
    m_d->ramp.onResponse(now, now - slot->deliveredAt, slot->isOverlapping);
    m_d->freeSlot(*slot);
    if (isOpen) {
        m_d->completeAnswer(now, id, *record, actions);
        m_d->dropOldAnswers(now);
    }
    m_d->finishStep(now, actions);
}

void RequestTable::onTargetShed(TimePoint now, const TargetShed &shed, AgentActions &actions)
{
    const RequestId id{shed.flow, shed.nonce, shed.number};
    TargetSlot *const slot = m_d->slotOf(id);
    if (!slot) {
        return;
    }
    RequestRecord *const record = m_d->recordOf(*slot);
    const bool isCancelling = slot->isCancelling;
    const RefusalReason cancelReason = slot->cancelReason;
    m_d->ramp.onShed(now);
    m_d->freeSlot(*slot);
    if (record && record->state == RequestState::Delivered) {
        if (isCancelling) {
            const RefusalReason reason = cancelReason == RefusalReason::Cancelled ? cancelReason : RefusalReason::DeadlinePassed;
            m_d->refuse(id, *record, reason, Outcome::NotRun, actions);
        } else {
            m_d->shed(now, id, *record, actions);
        }
    }
    m_d->finishStep(now, actions);
}

void RequestTable::onTargetCancelled(TimePoint now, const TargetCancelled &cancelled, AgentActions &actions)
{
    const RequestId id{cancelled.flow, cancelled.nonce, cancelled.number};
    TargetSlot *const slot = m_d->slotOf(id);
    if (!slot) {
        return;
    }
    RequestRecord *const record = m_d->recordOf(*slot);
    const RefusalReason cancelReason = slot->isCancelling ? slot->cancelReason : RefusalReason::Cancelled;
    m_d->freeSlot(*slot);
    if (record && record->state == RequestState::Delivered) {
        if (cancelled.hasRun) {
            m_d->refuse(id, *record, cancelReason, Outcome::OutcomeUnknown, actions);
        } else {
            const RefusalReason reason = cancelReason == RefusalReason::TargetTimeout ? RefusalReason::DeadlinePassed : cancelReason;
            m_d->refuse(id, *record, reason, Outcome::NotRun, actions);
        }
    }
    m_d->finishStep(now, actions);
}

void RequestTable::onTargetLost(TimePoint now, AgentActions &actions)
{
    for (const TargetSlot &slot : m_d->slots) {
        RequestRecord *const record = m_d->recordOf(slot);
        if (record && record->state == RequestState::Delivered) {
            m_d->refuse(slot.id, *record, RefusalReason::TargetLost, Outcome::OutcomeUnknown, actions);
        }
    }
    m_d->slots.clear();
    m_d->ramp.turnCold();
    m_d->isTargetJustLost = true;
    m_d->finishStep(now, actions);
}

// Limits

void RequestTable::setLimits(quint32 slotCount, int coldSharePercent, int warmSeconds, int retryBudgetPercent)
{
    m_d->slotCount = std::max<quint32>(slotCount, 1);
    m_d->ramp.setLimits(m_d->slotCount, std::clamp(coldSharePercent, 1, 100), std::max(warmSeconds, 0));
    m_d->budget.setPercent(retryBudgetPercent);
}

void RequestTable::refuseNewRequests(RefusalReason reason)
{
    m_d->refusalForNew = reason;
}

bool RequestTable::isIdle() const
{
    const auto isWaiting = [this](const AnswerRepeat &repeat) {
        const RequestRecord *const record = m_d->recordOf(repeat.id);
        return record && record->state == RequestState::Answered && !record->isAcknowledged() && !record->answer.empty();
    };
    return m_d->slots.empty() && m_d->queue.size() == 0 && std::none_of(m_d->answerRepeats.begin(), m_d->answerRepeats.end(), isWaiting);
}

quint16 RequestTable::loadPermille(TimePoint now) const
{
    return m_d->load.loadPermille(now);
}

const ColdStartRamp &RequestTable::ramp() const
{
    return m_d->ramp;
}

std::size_t RequestTable::queuedRequests() const
{
    return m_d->queue.size();
}

std::size_t RequestTable::deliveredRequests() const
{
    return m_d->slots.size();
}

// Time

void RequestTable::onTick(TimePoint now, AgentActions &actions)
{
    m_d->isTargetJustLost = false;
    m_d->expireQueued(now, actions);
    m_d->stepSlots(now, actions);
    m_d->repeatAnswers(now, actions);
    m_d->dropOldAnswers(now);
    m_d->expireRetriedFlows(now);
    m_d->finishStep(now, actions);
}

}
