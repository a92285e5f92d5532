#include "stream/streamagent.h"

#include "core/assertion.h"

#include "stream/openingredirection.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// A balancer that has sent nothing for this long gets no more load reports.
constexpr Duration balancerTimeout = 3s;
/// How long openings are refused at most after a pause if no full read of the directory ends.
constexpr Duration pauseSuspensionLimit = 1s;
/// The same after the start of the process. Above the time that a read takes, and below the time of the caller's last copy
/// of an opening.
constexpr Duration startSuspensionLimit = 500ms;

qint64 milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

QString refusalText(OpeningRefusal refusal)
{
    return QLatin1String(openingRefusalName(refusal));
}

}

StreamAgent::StreamAgent(const StreamAgentSettings &settings, const SegmentFormat &format, TimePoint now)
    : m_settings(settings)
    , m_format(format)
    , m_directory(settings.directory)
    , m_fence(m_settings, m_directory, now)
    , m_lookup(m_settings, m_directory)
    , m_retention(settings.retention, m_directory)
    , m_flows(m_retention)
    , m_watch(m_settings, m_meter)
    , m_announcer(m_settings, m_directory)
    , m_peers(m_settings, m_directory)
    , m_historyQueries(m_settings, m_directory)
    , m_startedAt(now)
    , m_loadDeadline(now + settings.loadInterval)
{
    // As after a pause, nothing is known yet of drains, of data centres that are out and of cold targets.
    m_fence.suspendUntil(now + startSuspensionLimit);
    if (settings.adoptsUnknownFlows) {
        m_retention.recordUnknown(now);
    }
}

// Input

void StreamAgent::onDirectoryChange(TimePoint now, const DirectoryChange &change, StreamActions & /*actions*/)
{
    m_directory.apply(now, change);
    if (const auto *completed = std::get_if<FullReadCompleted>(&change)) {
        m_fence.onDirectoryRead(completed->isFromSource);
    }
    if (const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target)) {
        onOwnTargetListed(own->target);
        m_slotCount = std::max<quint32>(1, own->target.slotCount);
        m_meter.setSlotCount(m_slotCount);
    }
    m_announcer.onDirectoryChange(now);
    if (std::holds_alternative<RoutesPublished>(change) || std::holds_alternative<FullReadCompleted>(change)) {
        m_historyQueries.onRoutes(now);
    }
}

void StreamAgent::onOwnTargetListed(const StreamTarget &target)
{
    if (m_targetId == target.id && m_targetIncarnation == target.incarnation) {
        return;
    }
    m_targetId = target.id;
    m_targetIncarnation = target.incarnation;
    // The time of day may have been set back before this process started: a target that seems to have started long after it need not
    // have done so. If it really has, its port has refused a connection since.
    const bool hasStartedWithThisProcess = target.service == m_settings.service && abs(target.startTime - m_settings.startTime) <= m_settings.commonStart;
    if (hasStartedWithThisProcess) {
        // The entry may be read late; flows that this process has removed since its start are still unknown.
        m_retention.forgetUnknown(m_startedAt);
    }
}

void StreamAgent::onSettings(const BalancingSettings &settings)
{
    m_settings.balancing = settings;
}

void StreamAgent::onMessage(TimePoint now, const StreamMessage &message, StreamActions &actions)
{
    using Handler = void (StreamAgent::*)(TimePoint, const StreamMessage &, const Segment &, StreamActions &);
    static constexpr std::array<Handler, 5> handlers{
        nullptr,
        &StreamAgent::onOpening,
        &StreamAgent::onDeliver,
        &StreamAgent::onLocate,
        &StreamAgent::onProbe,
    };
    m_lookup.onAgentMessage(now, message.sender);
    m_lookup.recordVersion(message.configurationVersion);
    const auto kind = static_cast<std::size_t>(message.kind);
    if (kind < handlers.size()) {
        const std::optional<Segment> segment = m_format.decode(message.packet);
        if (!segment || message.hopCount > m_settings.maximumHops) {
            return;
        }
        recordBalancer(now, message.balancer);
        (this->*handlers.at(kind))(now, message, *segment, actions);
        return;
    }
    if (message.kind == StreamMessageKind::Held) {
        m_lookup.end(message.flow);
    } else if (message.kind == StreamMessageKind::NotHeld) {
        finishLookup(now, message.flow, m_lookup.onNotHeld(now, message), actions);
    } else if (message.kind == StreamMessageKind::UnlistedTarget) {
        m_directory.recordUnlisted(now, message.targetAddress, message.service);
    } else if (message.kind == StreamMessageKind::TargetEnded) {
        onPeerTargetEnded(now, message, actions);
    } else if (message.kind == StreamMessageKind::RouteHistoryQuery) {
        answerHistoryQuery(now, message.sender, actions);
    } else if (message.kind == StreamMessageKind::RouteHistory) {
        m_historyQueries.onAnswer(now, message);
        actions.emplace_back(RecordStreamEvent{EventNumber::RouteHistoryReceived, {}, m_historyQueries.describeAnswer(now, message)});
    } else if (message.kind == StreamMessageKind::Ping) {
        m_peers.subscribe(now, message.sender);
        actions.emplace_back(SendStreamMessage{message.sender, answer(now, StreamMessageKind::Load, {})});
    }
    runLookups(now, actions);
}

void StreamAgent::onPacket(TimePoint now, const QByteArray &packet, StreamActions &actions)
{
    const std::optional<Segment> segment = m_format.decode(packet);
    if (!segment) {
        return;
    }
    if (m_watch.onReceived()) {
        m_fence.onTargetActive();
        m_announcer.onTargetChange(now);
        reportLoad(now, actions);
    }
    m_fence.identity().onSign(now);
    if (segment->has(BouncedFlag)) {
        onBounced(now, *segment, actions);
        return;
    }
    const FlowKey key = segment->flowFromTarget();
    HeldFlow *flow = m_flows.find(key);
    if (flow != nullptr && flow->state == HeldFlow::State::Unconfirmed) {
        // A target may reset a flow that another one holds, with the numbers of the packet, and may remember an earlier flow
        // between these endpoints. Its answer is not for the caller then.
        const bool isReset = segment->has(RstFlag);
        if (isReset || !flow->position.fits(FlowPosition::fromTarget(*segment))) {
            denyUnconfirmed(now, key, *flow, isReset ? QStringLiteral("target-reset") : QStringLiteral("earlier-flow"), actions);
            return;
        }
    }
    actions.emplace_back(SendToStreamCaller{key.caller, packet});
    if (flow == nullptr) {
        if (segment->has(RstFlag)) {
            return;
        }
        // The flow is older than this process. The target sends packets of it, which confirms that it owns the flow.
        flow = &m_flows[key];
        flow->state = HeldFlow::State::Open;
        m_flows.recordActivity(now, key, *flow);
    }
    onAnswer(now, key, *flow, *segment, actions);
    if (!segment->has(SynFlag) && !segment->has(RstFlag)) {
        m_fence.identity().onHeldFlow(now, flow->heldSince);
    }
}

void StreamAgent::onTick(TimePoint now, StreamActions &actions)
{
    m_directory.onTick(now);
    m_lookup.onTick(now, actions);
    runLookups(now, actions);
    for (const FlowKey &key : m_lookup.takeUnheldFlows(now)) {
        resetAfterLookup(now, key, actions);
    }
    while (!m_requestDeadlines.empty() && now >= m_requestDeadlines.front().first) {
        if (HeldFlow *flow = m_flows.find(m_requestDeadlines.front().second)) {
            endRequestAwait(*flow);
        }
        m_requestDeadlines.pop_front();
    }
    expireUnansweredRequests(now);
    if (m_watch.takeDueProbe(now)) {
        actions.emplace_back(ProbeStreamTarget{});
    }
    announceTarget(now, actions);
    if (const std::optional<Endpoint> peer = m_historyQueries.takeReceiver(now)) {
        actions.emplace_back(SendStreamMessage{*peer, answer(now, StreamMessageKind::RouteHistoryQuery, {})});
        actions.emplace_back(RecordStreamEvent{EventNumber::RouteHistoryQueried, {}, m_historyQueries.describeQuery(now, *peer)});
    }
    releaseQueued(now, actions);
    for (const FlowKey &key : m_flows.takeExpired(now)) {
        removeFlow(now, key);
    }
    if (now < m_loadDeadline) {
        return;
    }
    m_loadDeadline = now + m_settings.loadInterval;
    std::erase_if(m_balancers, [now](const auto &item) { return now >= item.second; });
    m_peers.removeExpired(now);
    reportLoad(now, actions);
}

void StreamAgent::onPause(TimePoint now)
{
    m_fence.suspendUntil(now + pauseSuspensionLimit);
}

// Planned stop

void StreamAgent::beginStop(TimePoint now, StreamActions &actions)
{
    if (m_stopDeadline) {
        return;
    }
    m_fence.setStopping();
    m_stopDeadline = now + m_settings.stopLimit;
    m_stopMinimumDeadline = now + m_settings.stopMinimum;
    reportLoad(now, actions);
    // When a machine is shut down, its target has already ended; then there is nothing to wait for.
    m_watch.onProbeBegun(now);
    actions.emplace_back(ProbeStreamTarget{});
}

void StreamAgent::onWithdrawn(TimePoint /*now*/)
{
    // Balancers are notified of the stop by load reports.
}

bool StreamAgent::isStopped(TimePoint now) const
{
    if (!m_stopDeadline || m_watch.hasEnded()) {
        return m_stopDeadline.has_value();
    }
    const bool hasWork = m_meter.inProgress() > 0 || m_awaitedRequestCount > 0 || m_queue.size() > 0;
    return now >= m_stopMinimumDeadline && (!hasWork || now >= *m_stopDeadline);
}

TimePoint StreamAgent::nextDeadline() const
{
    TimePoint next =
        std::min({m_directory.nextDeadline(), m_loadDeadline, m_lookup.nextDeadline(), m_announcer.nextDeadline(), m_historyQueries.nextDeadline()});
    if (m_queue.size() > 0) {
        next = std::min(next, m_settings.balancing.ordersByObjective ? m_queue.nextAnswerDeadline() - serviceTime() : m_queue.nextDeadline());
        next = std::min(next, m_requestDeadlines.empty() ? TimePoint::max() : m_requestDeadlines.front().first);
        next = std::min(next, m_activeRequests.empty() ? TimePoint::max() : std::get<0>(m_activeRequests.front()));
    }
    if (m_stopDeadline) {
        next = std::min(next, std::min(*m_stopDeadline, m_stopMinimumDeadline));
    }
    return std::min(next, m_watch.probeDeadline());
}

void StreamAgent::onNewPosition(TimePoint now, StreamActions &actions)
{
    for (const Endpoint &peer : m_peers.updateReceivers(now)) {
        actions.emplace_back(SendStreamMessage{peer, answer(now, StreamMessageKind::DirectoryUpdate, {})});
    }
}

void StreamAgent::onStaleDirectory(TimePoint now, StreamActions &actions)
{
    for (const Endpoint &peer : m_peers.takeQueryReceivers()) {
        actions.emplace_back(SendStreamMessage{peer, answer(now, StreamMessageKind::Ping, {})});
    }
}

bool StreamAgent::isReady() const
{
    return m_directory.routes() != nullptr && m_directory.isComplete();
}

LoadReport StreamAgent::load(TimePoint now) const
{
    LoadReport load = m_meter.report(now);
    load.requestsInProgress = static_cast<quint16>(std::min<std::size_t>(load.requestsInProgress + m_awaitedRequestCount + m_queue.size(), 0xffff));
    load.flows = static_cast<quint16>(std::min<std::size_t>(m_flows.size(), 0xffff));
    load.failurePermille = m_answers.failurePermille(now);
    load.answerBytes = m_answers.meanBytes(now);
    load.isClosed = m_fence.lastingRefusal(now) != OpeningRefusal::None;
    return load;
}

// Messages

void StreamAgent::onOpening(TimePoint now, const StreamMessage &message, const Segment &segment, StreamActions &actions)
{
    const FlowKey key = segment.flowFromCaller();
    HeldFlow *existing = m_flows.find(key);
    if (existing != nullptr && existing->openingSequence == segment.sequence) {
        // A copy of the opening: the target repeats its answer, whatever has changed since.
        existing->balancer = message.balancer;
        sendToTarget(now, key, *existing, message, actions);
        return;
    }
    if (m_queue.contains(key)) {
        // The caller may have given up the queued opening and have sent another one from the same port.
        m_queue.replaceMessage(key, message);
        actions.emplace_back(SendStreamMessage{message.balancer, answer(now, StreamMessageKind::Waiting, key)});
        return;
    }
    const OpeningRefusal refusal = m_fence.admit(now, message, key.service);
    if (refusal == OpeningRefusal::Outdated && message.candidates.empty()) {
        // The caller's next copy arrives after the read; nobody else can take the flow.
        return;
    }
    if (refusal == OpeningRefusal::NoRoute) {
        redirectOpening(message, key, actions);
        return;
    }
    if (refusal != OpeningRefusal::None) {
        forwardOpening(message, key, refusalText(refusal), actions);
        return;
    }
    if (existing != nullptr) {
        removeFlow(now, key);
    }
    if (shouldHunt(message)) {
        hunt(key, message, actions);
        return;
    }
    // Queued openings go first.
    if (hasRoom() && m_queue.size() == 0) {
        acceptOpening(now, key, message, actions);
    } else {
        enqueueOpening(now, key, message, actions);
    }
}

void StreamAgent::onDeliver(TimePoint now, const StreamMessage &message, const Segment &segment, StreamActions &actions)
{
    const FlowKey key = segment.flowFromCaller();
    HeldFlow *flow = m_flows.find(key);
    if (flow != nullptr && HeldFlows::isOf(*flow, segment)) {
        deliver(now, key, *flow, message, segment, actions);
        return;
    }
    if (relay(message, actions)) {
        return;
    }
    if (flow != nullptr || knowsAllFlows(now) || message.service != m_settings.service) {
        // A packet for a service that used this address before must not reach the current target.
        denyFlow(now, key, message, actions);
        return;
    }
    deliverUnconfirmed(now, key, message, segment, actions);
}

void StreamAgent::onProbe(TimePoint now, const StreamMessage &message, const Segment &segment, StreamActions &actions)
{
    const FlowKey key = segment.flowFromCaller();
    const HeldFlow *flow = m_flows.findConfirmed(key);
    if (flow != nullptr && HeldFlows::isOf(*flow, segment)) {
        deliver(now, key, m_flows[key], message, segment, actions);
        const StreamMessage held = answer(now, StreamMessageKind::Held, key);
        actions.emplace_back(SendStreamMessage{message.sender, held});
        actions.emplace_back(SendStreamMessage{message.balancer, held});
        return;
    }
    if (flow != nullptr || knowsAllFlows(now) || message.service != m_settings.service) {
        denyProbe(now, key, message, actions);
        return;
    }
    if (!message.isServiceAllowed && !m_directory.mayHoldFlows(key.service, m_settings.service)) {
        // The target must get no packet that is meant for another service.
        denyProbe(now, key, message, actions, true);
        return;
    }
    deliverUnconfirmed(now, key, message, segment, actions).lookupAgent = message.sender;
}

void StreamAgent::onLocate(TimePoint now, const StreamMessage &message, const Segment &segment, StreamActions &actions)
{
    const FlowKey key = segment.flowFromCaller();
    const HeldFlow *flow = m_flows.findConfirmed(key);
    if (flow != nullptr && HeldFlows::isOf(*flow, segment)) {
        deliver(now, key, m_flows[key], message, segment, actions);
        actions.emplace_back(SendStreamMessage{message.balancer, answer(now, StreamMessageKind::Held, key)});
        return;
    }
    // Confirms to the balancer that the lookup has started.
    actions.emplace_back(SendStreamMessage{message.balancer, answer(now, StreamMessageKind::NotHeld, key)});
    startLookup(now, key, message, actions);
}

// Target process

void StreamAgent::onTargetProbed(TimePoint now, bool isProcessAlive, StreamActions &actions)
{
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    const bool isLeaving = !m_directory.isComplete() || (own != nullptr && own->target.isDraining);
    if (isProcessAlive) {
        m_fence.identity().onSign(now);
    }
    switch (m_watch.onProbed(now, isProcessAlive, isLeaving)) {
    case TargetWatch::Outcome::Started:
        m_retention.onTargetStarted();
        m_fence.onTargetStarted(now);
        m_announcer.onTargetChange(now);
        reportLoad(now, actions);
        break;
    case TargetWatch::Outcome::Ended:
        onTargetLost(now, actions);
        break;
    case TargetWatch::Outcome::None:
        break;
    }
    if (m_watch.hasEnded()) {
        denyUnconfirmedFlows(now, actions);
        if (m_stopDeadline && !m_hasAnnouncedEnd) {
            // Nobody answers for the target once this process has ended.
            m_hasAnnouncedEnd = true;
            sendAnnouncement(now, m_announcer.receivers(now), actions);
        }
    }
}

void StreamAgent::onTargetLost(TimePoint now, StreamActions &actions)
{
    m_fence.onTargetEnded();
    m_announcer.onTargetChange(now);
    actions.emplace_back(RecordStreamEvent{
        EventNumber::TargetLost, {}, QStringLiteral("reason=connection-refused flows=%1 waiting=%2").arg(m_flows.size()).arg(m_queue.size())});
    reportLoad(now, actions);
    std::vector<FlowKey> keys;
    for (const auto &[key, flow] : m_flows) {
        // The end of this target says nothing about a flow that another target may hold.
        if (flow.state != HeldFlow::State::Unconfirmed) {
            keys.push_back(key);
        }
    }
    for (const FlowKey &key : keys) {
        HeldFlow &flow = m_flows[key];
        if (flow.state == HeldFlow::State::Offered) {
            // Another target can accept the opening, or has done so. If the record of the message was overwritten, the
            // balancer offers the caller's next copy elsewhere.
            denyDelivery(now, key, flow.deliveryTag, refusalText(OpeningRefusal::TargetEnded), actions);
            removeFlow(now, key);
            continue;
        }
        // Callers that are reset at once can repeat their requests elsewhere within their timeouts.
        terminateFlow(now, key, flow, QStringLiteral("reason=target-ended"), actions);
    }
    while (const std::optional<OpeningQueue::Entry> entry = m_queue.take(now)) {
        forwardOpening(entry->message, entry->flow, refusalText(OpeningRefusal::TargetEnded), actions);
    }
}

void StreamAgent::denyUnconfirmedFlows(TimePoint now, StreamActions &actions)
{
    std::vector<FlowKey> denied;
    for (const auto &[key, flow] : m_flows) {
        if (flow.state == HeldFlow::State::Unconfirmed && now >= flow.denialDeadline) {
            denied.push_back(key);
        }
    }
    for (const FlowKey &key : denied) {
        denyUnconfirmed(now, key, m_flows[key], refusalText(OpeningRefusal::TargetEnded), actions);
    }
}

void StreamAgent::denyUnconfirmed(TimePoint now, const FlowKey &key, const HeldFlow &flow, const QString &reason, StreamActions &actions)
{
    const Endpoint receiver = flow.lookupAgent.isNull() ? flow.balancer : flow.lookupAgent;
    if (!denyDelivery(now, key, flow.deliveryTag, reason, actions)) {
        removeFlow(now, key);
        actions.emplace_back(SendStreamMessage{receiver, answer(now, StreamMessageKind::NotHeld, key)});
        finishLookup(now, key, m_lookup.onNotHeldByOwnTarget(now, key), actions);
    }
}

void StreamAgent::reportLoad(TimePoint now, StreamActions &actions)
{
    for (const auto &[balancer, deadline] : m_balancers) {
        actions.emplace_back(SendStreamMessage{balancer, answer(now, StreamMessageKind::Load, {})});
    }
}

void StreamAgent::answerHistoryQuery(TimePoint now, const Endpoint &peer, StreamActions &actions)
{
    for (StreamMessage &part : RouteHistoryQueries::parts(now, m_directory.routeHistory(), answer(now, StreamMessageKind::RouteHistory, {}))) {
        actions.emplace_back(SendStreamMessage{peer, std::move(part)});
    }
}

void StreamAgent::announceTarget(TimePoint now, StreamActions &actions)
{
    sendAnnouncement(now, m_announcer.takeReceivers(now), actions);
}

void StreamAgent::sendAnnouncement(TimePoint now, const std::vector<Endpoint> &receivers, StreamActions &actions)
{
    if (receivers.empty()) {
        return;
    }
    StreamMessage announcement = answer(now, m_watch.hasEnded() ? StreamMessageKind::TargetEnded : StreamMessageKind::UnlistedTarget, {});
    announcement.targetAddress = m_settings.target;
    for (const Endpoint &agent : receivers) {
        actions.emplace_back(SendStreamMessage{agent, announcement});
    }
}

void StreamAgent::onPeerTargetEnded(TimePoint now, const StreamMessage &message, StreamActions &actions)
{
    m_directory.recordEnded(message.targetAddress, message.service);
    for (const auto &[flow, outcome] : m_lookup.onTargetEnded(now)) {
        finishLookup(now, flow, outcome, actions);
    }
}

// Packets of the target

void StreamAgent::onBounced(TimePoint now, const Segment &segment, StreamActions &actions)
{
    const FlowKey key = segment.flowFromCaller();
    if (denyDelivery(now, key, segment.tag, QStringLiteral("target-bounced"), actions)) {
        return;
    }
    HeldFlow *flow = m_flows.find(key);
    if (flow == nullptr || segment.isOpening()) {
        return;
    }
    if (flow->state == HeldFlow::State::Open) {
        // The target held this flow and has lost it.
        m_fence.identity().onLostFlow(now);
        flow->callerAcknowledgement = segment.acknowledgement;
        terminateFlow(now, key, *flow, QStringLiteral("reason=target-bounced"), actions);
    } else if (flow->state == HeldFlow::State::Unconfirmed) {
        denyUnconfirmed(now, key, *flow, QStringLiteral("target-bounced"), actions);
    }
}

bool StreamAgent::denyDelivery(TimePoint now, const FlowKey &key, quint32 tag, const QString &reason, StreamActions &actions)
{
    const Delivery &delivery = m_deliveries.at(tag % deliveryCount);
    if (tag == 0 || delivery.tag != tag || delivery.flow != key) {
        return false;
    }
    removeFlow(now, key);
    const StreamMessage message = delivery.message;
    if (message.kind != StreamMessageKind::Opening) {
        actions.emplace_back(RecordStreamEvent{EventNumber::FlowDenied, key, QStringLiteral("reason=") + reason});
    }
    switch (message.kind) {
    case StreamMessageKind::Opening:
        forwardOpening(message, key, reason, actions);
        break;
    case StreamMessageKind::Deliver:
        denyFlow(now, key, message, actions);
        break;
    case StreamMessageKind::Probe:
        denyProbe(now, key, message, actions);
        break;
    default:
        finishLookup(now, key, m_lookup.onNotHeldByOwnTarget(now, key), actions);
        break;
    }
    return true;
}

void StreamAgent::onAnswer(TimePoint now, const FlowKey &key, HeldFlow &flow, const Segment &segment, StreamActions &actions)
{
    if (segment.has(SynFlag)) {
        // Also the answer to a copy of the opening may come from a process that has started since the first one.
        flow.heldSince = now;
        flow.targetSequence = segment.sequence;
        flow.targetEnd = segment.sequence + 1;
        flow.hasTargetSequence = true;
        if (flow.state == HeldFlow::State::Offered) {
            flow.state = HeldFlow::State::Answered;
            // The caller ignores a reset with this sequence number once it has acknowledged another target's answer.
            flow.callerAcknowledgement = segment.sequence + 1;
            actions.emplace_back(
                RecordStreamEvent{EventNumber::FlowOpened, key, QStringLiteral("in-progress=%1 flows=%2").arg(m_meter.inProgress()).arg(m_flows.size())});
        }
        actions.emplace_back(SendStreamMessage{flow.balancer, answer(now, StreamMessageKind::Held, key)});
    } else if (flow.state == HeldFlow::State::Unconfirmed) {
        flow.state = HeldFlow::State::Open;
        actions.emplace_back(RecordStreamEvent{EventNumber::FlowRebound, key, QStringLiteral("reason=target-answered")});
        StreamMessage held = answer(now, StreamMessageKind::Held, key);
        m_lookup.end(key);
        if (!flow.lookupAgent.isNull()) {
            actions.emplace_back(SendStreamMessage{flow.lookupAgent, held});
        }
        actions.emplace_back(SendStreamMessage{flow.balancer, std::move(held)});
    }
    const bool isReset = segment.has(RstFlag);
    if (!isReset) {
        flow.position = FlowPosition::fromTarget(segment);
    }
    // The network may reorder segments: a FIN behind data that has not been seen yet follows an answer. For a flow from
    // before the start of this process the sequence is unknown, and the answer may have passed before.
    const bool hasEndedWithoutData = segment.has(FinFlag) && (!flow.hasTargetSequence || segment.sequence == flow.targetEnd);
    if (flow.requestStart && (segment.dataLength > 0 || isReset || hasEndedWithoutData)) {
        if (segment.dataLength > 0) {
            m_meter.answer(now);
            m_answers.answered(now, segment.dataLength, now - *flow.requestStart);
            actions.emplace_back(RecordStreamTime{StreamTimer::Request, now - *flow.requestStart});
            flow.requestStart.reset();
        } else {
            endUnansweredRequest(now, flow);
            if (flow.hasTargetSequence) {
                m_answers.failed(now);
            }
        }
    }
    const quint32 end = segment.sequence + segment.dataLength;
    if (segment.dataLength > 0 && static_cast<qint32>(end - flow.targetEnd) > 0) {
        flow.targetEnd = end;
    }
    flow.hasTargetFinished = flow.hasTargetFinished || isReset || segment.has(FinFlag);
    flow.hasCallerFinished = flow.hasCallerFinished || isReset;
    m_flows.recordActivity(now, key, flow);
    releaseQueued(now, actions);
}

// Queued openings

bool StreamAgent::hasRoom() const
{
    const double limit = m_slotCount * (1 + m_settings.allowancePerSlot);
    return static_cast<double>(m_meter.inProgress() + m_awaitedRequestCount) < limit;
}

bool StreamAgent::shouldHunt(const StreamMessage &message) const
{
    const bool isBusy = m_meter.inProgress() + m_awaitedRequestCount >= m_slotCount;
    // A long queue here implies that the other targets are busy as well, and that this one was still the best choice.
    if (!isBusy || message.hopCount >= m_settings.busyHops || (message.hopCount == 0 && m_queue.size() > m_slotCount)) {
        return false;
    }
    return std::ranges::any_of(message.candidates, [this](TargetId candidate) {
        const TargetDirectory::Entry *entry = findOther(candidate);
        return entry != nullptr && entry->isPresent();
    });
}

void StreamAgent::hunt(const FlowKey &key, const StreamMessage &message, StreamActions &actions)
{
    StreamMessage hunting = message;
    if (message.hopCount == 0 && m_targetId != TargetId{}) {
        // If no target has a free slot, the opening returns to this one: later candidates have a longer expected time.
        const std::size_t others = std::min<std::size_t>(hunting.candidates.size(), m_settings.busyHops - 1U);
        hunting.candidates.insert(hunting.candidates.begin() + static_cast<std::ptrdiff_t>(others), m_targetId);
    }
    forwardOpening(hunting, key, QStringLiteral("busy in-progress=%1").arg(m_meter.inProgress()), actions);
}

Duration StreamAgent::expectedWait(int priority) const
{
    return waitBehind(m_queue.countAhead(priority));
}

Duration StreamAgent::waitBehind(std::size_t ahead) const
{
    const double before = static_cast<double>(ahead + m_meter.inProgress() + m_awaitedRequestCount) + 1 - m_slotCount;
    return std::chrono::duration_cast<Duration>(m_meter.serviceTime() * std::max(0.0, before) / m_slotCount);
}

Duration StreamAgent::serviceTime() const
{
    return std::chrono::duration_cast<Duration>(m_meter.serviceTime());
}

OpeningOrder::Conditions StreamAgent::orderConditions(TimePoint now) const
{
    // The caller of a released opening sends its request after two round trips, and the request may wait in the target, which is given
    // more requests than it has slots. Without the first, a quarter of the answers under 2.4 times the capacity were late.
    return {now, m_settings.requestDelay + waitBehind(0) + serviceTime(), m_settings.balancing};
}

void StreamAgent::enqueueOpening(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions)
{
    const RouteTablePointer &routes = m_directory.routes();
    const Route *route = routes != nullptr ? routes->findRoute(key.service) : nullptr;
    const bool hasTimeout = route != nullptr && route->timeout > Duration::zero();
    const Duration limit = hasTimeout ? std::chrono::duration_cast<Duration>(route->timeout * m_settings.waitShare) : m_settings.waitLimit;
    const int priority = route != nullptr ? route->priority : 0;
    const bool hasObjective = route != nullptr && route->objective > Duration::zero();
    const OpeningQueue::Entry entry{
        key,
        message,
        priority,
        now,
        now + m_settings.fifoWaitLimit,
        now + limit,
        now + (hasTimeout ? route->timeout : m_settings.waitLimit),
        hasObjective ? now + route->objective : TimePoint::max(),
    };
    if (m_settings.balancing.ordersByObjective) {
        enqueueByObjective(now, entry, actions);
        return;
    }
    if (expectedWait(priority) > limit) {
        // One of the openings would be too late here; another target may still be in time. Under overload the queue is
        // LIFO, so the opening that has waited longest has the least prospect.
        const QString reason =
            QStringLiteral("overload expected-wait-ms=%1").arg(std::chrono::duration_cast<std::chrono::milliseconds>(expectedWait(priority)).count());
        const std::optional<OpeningQueue::Entry> last = m_queue.takeLast(now, priority);
        if (!last) {
            forwardOpening(message, key, reason, actions);
            return;
        }
        forwardOpening(last->message, last->flow, reason, actions);
    }
    actions.emplace_back(RecordStreamEvent{EventNumber::FlowWaiting,
                                           key,
                                           QStringLiteral("ahead=%1 in-progress=%2 expected-wait-ms=%3 priority=%4")
                                               .arg(m_queue.countAhead(priority))
                                               .arg(m_meter.inProgress())
                                               .arg(std::chrono::duration_cast<std::chrono::milliseconds>(expectedWait(priority)).count())
                                               .arg(priority)});
    m_queue.add(entry);
    actions.emplace_back(SendStreamMessage{message.balancer, answer(now, StreamMessageKind::Waiting, key)});
}

void StreamAgent::enqueueByObjective(TimePoint now, const OpeningQueue::Entry &entry, StreamActions &actions)
{
    const OpeningOrder::Conditions conditions = orderConditions(now);
    const std::size_t ahead = m_queue.countAhead(conditions, entry.priority, entry.objectiveDeadline);
    const Duration wait = waitBehind(ahead);
    if (now + wait + serviceTime() >= entry.answerDeadline) {
        forwardOpening(entry.message,
                       entry.flow,
                       QStringLiteral("not-in-time expected-wait-ms=%1 ahead=%2 rest-ms=%3")
                           .arg(milliseconds(wait))
                           .arg(ahead)
                           .arg(milliseconds(entry.answerDeadline - now)),
                       actions);
        return;
    }
    QString detail = QStringLiteral("ahead=%1 in-progress=%2 expected-wait-ms=%3 priority=%4")
                         .arg(ahead)
                         .arg(m_meter.inProgress())
                         .arg(milliseconds(wait))
                         .arg(entry.priority);
    if (entry.objectiveDeadline != TimePoint::max()) {
        detail += QStringLiteral(" slack-ms=%1").arg(milliseconds(entry.objectiveDeadline - now - conditions.answerTime));
    }
    actions.emplace_back(RecordStreamEvent{EventNumber::FlowWaiting, entry.flow, detail});
    m_queue.add(entry);
    actions.emplace_back(SendStreamMessage{entry.message.balancer, answer(now, StreamMessageKind::Waiting, entry.flow)});
    // The opening may go before others, which are too late now.
    passOnHopeless(now, actions);
}

void StreamAgent::passOnHopeless(TimePoint now, StreamActions &actions)
{
    if (m_queue.size() == 0) {
        return;
    }
    for (const OpeningQueue::Entry &entry : m_queue.takeHopeless(orderConditions(now), serviceTime(), waitBehind(0), serviceTime() / m_slotCount)) {
        forwardOpening(entry.message, entry.flow, QStringLiteral("not-in-time waited-ms=%1").arg(milliseconds(now - entry.arrival)), actions);
    }
}

void StreamAgent::releaseQueued(TimePoint now, StreamActions &actions)
{
    if (m_settings.balancing.ordersByObjective) {
        passOnHopeless(now, actions);
    } else {
        for (const OpeningQueue::Entry &entry : m_queue.takeExpired(now)) {
            forwardOpening(entry.message, entry.flow, QStringLiteral("no-room-in-time"), actions);
        }
    }
    while (m_queue.size() > 0 && hasRoom()) {
        const OpeningQueue::Entry entry = *m_queue.take(orderConditions(now));
        actions.emplace_back(RecordStreamTime{StreamTimer::Wait, now - entry.arrival});
        // The target may have begun to drain in the meantime.
        const OpeningRefusal refusal = m_fence.lastingRefusal(now, entry.message);
        if (refusal != OpeningRefusal::None) {
            forwardOpening(entry.message, entry.flow, refusalText(refusal), actions);
            continue;
        }
        acceptOpening(now, entry.flow, entry.message, actions);
    }
}

void StreamAgent::acceptOpening(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions)
{
    HeldFlow &flow = m_flows[key];
    flow.balancer = message.balancer;
    const Segment opening = *m_format.decode(message.packet);
    flow.openingSequence = opening.sequence;
    flow.position = FlowPosition::fromCaller(opening);
    flow.isRequestAwaited = true;
    ++m_awaitedRequestCount;
    m_requestDeadlines.emplace_back(now + m_settings.requestDelay, key);
    m_flows.recordActivity(now, key, flow);
    sendToTarget(now, key, flow, message, actions);
}

void StreamAgent::endRequestAwait(HeldFlow &flow)
{
    if (flow.isRequestAwaited) {
        flow.isRequestAwaited = false;
        --m_awaitedRequestCount;
    }
}

void StreamAgent::endUnansweredRequest(TimePoint now, HeldFlow &flow)
{
    // On a flow from before the start of this process, an apparent request may be a retransmission that was already
    // answered.
    if (flow.hasTargetSequence) {
        m_meter.abandon(now);
    } else {
        m_meter.discard(now, *flow.requestStart);
    }
    flow.requestStart.reset();
}

void StreamAgent::expireUnansweredRequests(TimePoint now)
{
    while (!m_activeRequests.empty() && now >= std::get<0>(m_activeRequests.front())) {
        const auto [deadline, key, begin] = m_activeRequests.front();
        m_activeRequests.pop_front();
        HeldFlow *flow = m_flows.find(key);
        if (flow != nullptr && flow->requestStart == begin) {
            // Requests that wait in a busy target are late, not failed.
            const bool isFailure = flow->hasTargetSequence && m_meter.inProgress() <= m_slotCount;
            endUnansweredRequest(now, *flow);
            if (isFailure) {
                m_answers.failed(now);
            }
        }
    }
}

// Helpers

const TargetDirectory::Entry *StreamAgent::findOther(TargetId target) const
{
    const TargetDirectory::Entry *entry = m_directory.find(target);
    return entry != nullptr && entry->target.address != m_settings.target ? entry : nullptr;
}

const TargetDirectory::Entry *StreamAgent::popCandidate(StreamMessage &message, CandidateOrder order) const
{
    while (!message.candidates.empty() && message.hopCount <= m_settings.maximumHops) {
        const auto place = order == CandidateOrder::BestFirst ? message.candidates.begin() : std::prev(message.candidates.end());
        const TargetDirectory::Entry *next = findOther(*place);
        message.candidates.erase(place);
        if (next == nullptr) {
            continue;
        }
        message.target = next->target.id;
        message.incarnation = next->target.incarnation;
        message.service = next->target.service;
        message.sender = m_settings.endpoint;
        return next;
    }
    return nullptr;
}

void StreamAgent::forwardOpening(const StreamMessage &message, const FlowKey &key, const QString &reason, StreamActions &actions)
{
    StreamMessage forwarded = message;
    ++forwarded.hopCount;
    while (const TargetDirectory::Entry *next = popCandidate(forwarded, CandidateOrder::BestFirst)) {
        if (!next->isPresent()) {
            continue;
        }
        actions.emplace_back(RecordStreamEvent{
            EventNumber::FlowPassedOn, key, QStringLiteral("reason=%1 next=%2 hop=%3").arg(reason, next->target.name).arg(forwarded.hopCount)});
        actions.emplace_back(SendStreamMessage{next->agent, std::move(forwarded)});
        return;
    }
    // No candidate is left. The caller may open another flow, since nothing of this one has been processed.
    actions.emplace_back(SendToStreamCaller{key.caller, m_format.reset(key, 0)});
    StreamMessage ended;
    ended.kind = StreamMessageKind::Ended;
    ended.sender = m_settings.endpoint;
    ended.flow = key;
    actions.emplace_back(SendStreamMessage{message.balancer, std::move(ended)});
    actions.emplace_back(RecordStreamEvent{EventNumber::FlowRefused, key, QStringLiteral("reason=%1 hop=%2").arg(reason).arg(message.hopCount)});
}

bool StreamAgent::relay(const StreamMessage &message, StreamActions &actions) const
{
    const TargetDirectory::Entry *receiver = message.target != m_targetId ? findOther(message.target) : nullptr;
    if (receiver == nullptr || !receiver->isPresent() || message.hopCount >= m_settings.maximumHops) {
        return false;
    }
    StreamMessage relayed = message;
    ++relayed.hopCount;
    relayed.sender = m_settings.endpoint;
    actions.emplace_back(SendStreamMessage{receiver->agent, std::move(relayed)});
    return true;
}

void StreamAgent::redirectOpening(const StreamMessage &message, const FlowKey &key, StreamActions &actions)
{
    // The candidates come from the same outdated configuration as the choice of this target.
    StreamMessage redirected = message;
    redirected.configurationVersion = m_directory.routes()->version();
    redirected.candidates = OpeningRedirection::candidates(m_directory, m_settings.dataCentre, key, m_settings.redirectionLimit);
    forwardOpening(redirected, key, refusalText(OpeningRefusal::NoRoute), actions);
}

void StreamAgent::deliver(TimePoint now, const FlowKey &key, HeldFlow &flow, const StreamMessage &message, const Segment &segment, StreamActions &actions)
{
    trackCallerSegment(now, flow, message, segment);
    if (flow.state == HeldFlow::State::Answered) {
        flow.state = HeldFlow::State::Open;
    }
    m_flows.recordActivity(now, key, flow);
    if (flow.state == HeldFlow::State::Unconfirmed) {
        sendToTarget(now, key, flow, message, actions);
        return;
    }
    if (segment.dataLength > 0) {
        m_watch.onSent(now);
    }
    actions.emplace_back(SendToStreamTarget{m_format.forTarget(message.packet, 0)});
}

HeldFlow &StreamAgent::deliverUnconfirmed(TimePoint now, const FlowKey &key, const StreamMessage &message, const Segment &segment, StreamActions &actions)
{
    HeldFlow &unconfirmed = m_flows[key];
    if (unconfirmed.state != HeldFlow::State::Unconfirmed) {
        unconfirmed.state = HeldFlow::State::Unconfirmed;
        unconfirmed.denialDeadline = now + m_watch.silenceLimit();
    }
    trackCallerSegment(now, unconfirmed, message, segment);
    m_flows.recordActivity(now, key, unconfirmed);
    sendToTarget(now, key, unconfirmed, message, actions);
    return unconfirmed;
}

void StreamAgent::sendToTarget(TimePoint now, const FlowKey &key, HeldFlow &flow, const StreamMessage &message, StreamActions &actions)
{
    m_watch.onSent(now);
    const quint32 tag = m_nextTag++;
    m_nextTag = std::max<quint32>(m_nextTag, 1);
    m_deliveries.at(tag % deliveryCount) = {tag, message, key};
    flow.deliveryTag = tag;
    actions.emplace_back(SendToStreamTarget{m_format.forTarget(message.packet, tag)});
}

void StreamAgent::denyFlow(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions)
{
    // If several targets were offered the opening, another one may have answered it.
    StreamMessage forwarded = message;
    ++forwarded.hopCount;
    if (const TargetDirectory::Entry *next = popCandidate(forwarded, CandidateOrder::LatestFirst)) {
        actions.emplace_back(SendStreamMessage{next->agent, std::move(forwarded)});
        return;
    }
    actions.emplace_back(SendStreamMessage{message.balancer, answer(now, StreamMessageKind::NotHeld, key)});
    startLookup(now, key, message, actions);
}

void StreamAgent::denyProbe(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions, bool isUncertain) const
{
    StreamMessage denial = answer(now, StreamMessageKind::NotHeld, key);
    denial.isUncertain = isUncertain;
    // The agent that runs the lookup may have this target under an earlier name.
    denial.target = message.target;
    denial.incarnation = message.incarnation;
    actions.emplace_back(SendStreamMessage{message.sender, std::move(denial)});
}

void StreamAgent::startLookup(TimePoint now, const FlowKey &key, const StreamMessage &message, StreamActions &actions)
{
    const std::optional<Segment> segment = m_format.decode(message.packet);
    if (!m_directory.isComplete() || segment->has(RstFlag)) {
        return;
    }
    // A packet that was to be delivered has been denied by the local target already.
    m_lookup.request(now, key, FlowPosition::fromCaller(*segment), message, message.kind != StreamMessageKind::Locate, actions);
    runLookups(now, actions);
}

void StreamAgent::runLookups(TimePoint now, StreamActions &actions)
{
    while (const std::optional<FlowLookup::Round> round = m_lookup.takeRound(now, actions)) {
        const bool mayOwnTargetHold = round->isOwnTargetAsked && !knowsAllFlows(now) && m_flows.findConfirmed(round->flow) == nullptr;
        const bool isServiceAllowed = m_directory.mayHoldFlows(round->flow.service, m_settings.service);
        if (mayOwnTargetHold && isServiceAllowed) {
            deliverUnconfirmed(now, round->flow, round->message, *m_format.decode(round->message.packet), actions);
        } else {
            finishLookup(now, round->flow, m_lookup.onNotHeldByOwnTarget(now, round->flow, mayOwnTargetHold && !isServiceAllowed), actions);
        }
    }
}

void StreamAgent::finishLookup(TimePoint now, const FlowKey &key, FlowLookup::Outcome outcome, StreamActions &actions)
{
    switch (outcome) {
    case FlowLookup::Outcome::Pending:
        break;
    case FlowLookup::Outcome::NotHeldByAny:
        resetAfterLookup(now, key, actions);
        break;
    case FlowLookup::Outcome::KnownElsewhere:
        actions.emplace_back(m_lookup.handOver(key));
        actions.emplace_back(RecordStreamEvent{EventNumber::FlowLocated, key, QStringLiteral("reason=handed-over ") + m_lookup.describe(now, key)});
        m_lookup.end(key);
        break;
    }
}

void StreamAgent::resetAfterLookup(TimePoint now, const FlowKey &key, StreamActions &actions)
{
    const std::optional<Segment> segment = m_format.decode(m_lookup.packetOf(key));
    actions.emplace_back(SendToStreamCaller{key.caller, m_format.reset(key, segment ? segment->acknowledgement : 0)});
    actions.emplace_back(RecordStreamEvent{EventNumber::FlowBroken, key, QStringLiteral("reason=held-by-no-target ") + m_lookup.describe(now, key)});
    m_lookup.end(key);
}

void StreamAgent::trackCallerSegment(TimePoint now, HeldFlow &flow, const StreamMessage &message, const Segment &segment)
{
    flow.balancer = message.balancer;
    flow.position = FlowPosition::fromCaller(segment);
    if (segment.has(AckFlag)) {
        flow.callerAcknowledgement = segment.acknowledgement;
    }
    if (segment.has(RstFlag)) {
        flow.hasTargetFinished = true;
    }
    flow.hasCallerFinished = flow.hasCallerFinished || segment.has(FinFlag) || segment.has(RstFlag);
    if (segment.dataLength > 0) {
        const quint32 end = segment.sequence + segment.dataLength;
        const bool isNewData = flow.callerEnd == 0 || static_cast<qint32>(end - flow.callerEnd) > 0;
        if (isNewData) {
            flow.callerEnd = end;
        }
        endRequestAwait(flow);
        if (isNewData && !flow.requestStart) {
            flow.requestStart = now;
            m_meter.begin(now);
            const auto serviceTimeLimit = std::chrono::duration_cast<Duration>(m_meter.serviceTime() * m_settings.requestServiceTimes);
            m_activeRequests.emplace_back(now + std::max(serviceTimeLimit, m_settings.requestTimeMinimum), segment.flowFromCaller(), now);
        }
    }
}

void StreamAgent::terminateFlow(TimePoint now, const FlowKey &key, HeldFlow &flow, const QString &reason, StreamActions &actions)
{
    if (!flow.hasCallerFinished || !flow.hasTargetFinished) {
        const bool isOpen = flow.state == HeldFlow::State::Open;
        actions.emplace_back(SendToStreamCaller{key.caller, m_format.reset(key, flow.callerAcknowledgement)});
        actions.emplace_back(RecordStreamEvent{isOpen ? EventNumber::FlowBroken : EventNumber::FlowRefused, key, reason});
    }
    if (!flow.balancer.isNull()) {
        actions.emplace_back(SendStreamMessage{flow.balancer, answer(now, StreamMessageKind::Ended, key)});
    }
    removeFlow(now, key);
}

bool StreamAgent::knowsAllFlows(TimePoint now) const
{
    // A later version of the configuration may have raised the idle timeout.
    return m_lookup.hasLatestRoutes() && m_retention.isComplete(now);
}

void StreamAgent::removeFlow(TimePoint now, const FlowKey &key)
{
    HeldFlow *flow = m_flows.find(key);
    if (flow == nullptr) {
        return;
    }
    endRequestAwait(*flow);
    if (flow->requestStart) {
        endUnansweredRequest(now, *flow);
    }
    m_flows.erase(key);
}

void StreamAgent::recordBalancer(TimePoint now, const Endpoint &balancer)
{
    m_balancers[balancer] = now + balancerTimeout;
}

StreamMessage StreamAgent::answer(TimePoint now, StreamMessageKind kind, const FlowKey &key) const
{
    StreamMessage message;
    message.kind = kind;
    message.configurationVersion = m_directory.routes() != nullptr ? m_directory.routes()->version() : 0;
    message.sender = m_settings.endpoint;
    message.service = m_settings.service;
    // Also set while the entry is missing: the target may be cut off from the source of the directory.
    message.target = m_targetId;
    message.incarnation = m_targetIncarnation;
    message.flow = key;
    if (kind == StreamMessageKind::NotHeld) {
        message.isUnsettled = m_directory.hasLapsedTargets(now);
        message.knowsAllTargets = m_lookup.knowsAllTargets(now);
    }
    const bool carriesLoad = kind == StreamMessageKind::Held || kind == StreamMessageKind::Waiting || kind == StreamMessageKind::Load;
    if (carriesLoad) {
        message.load = load(now);
    }
    return message;
}

}
