#include "stream/streambalancer.h"

#include "stream/directoryreaders.h"
#include "stream/relaychoice.h"

#include <algorithm>

namespace Rattanpick
{

StreamBalancer::StreamBalancer(const StreamBalancerSettings &settings, const SegmentFormat &format)
    : m_settings(settings)
    , m_format(format)
    , m_directory(settings.directory)
    , m_placement(settings.placement)
    , m_retention(settings.retention, m_directory)
    , m_silentAgents(settings.silentAgents)
{
}

// Input

void StreamBalancer::onDirectoryChange(TimePoint now, const DirectoryChange &change, StreamActions & /*actions*/)
{
    m_directory.apply(now, change);
}

void StreamBalancer::onSettings(const BalancingSettings &settings)
{
    m_placement.onSettings(settings);
}

void StreamBalancer::onPacket(TimePoint now, const QByteArray &packet, StreamActions &actions)
{
    const std::optional<Segment> segment = m_format.decode(packet);
    if (!segment || segment->has(BouncedFlag) || m_directory.routes() == nullptr) {
        return;
    }
    const FlowKey key = segment->flowFromCaller();
    const Route *route = m_directory.routes()->findRoute(key.service);
    if (route == nullptr) {
        // If a peer has newer routes, they may contain the address, so that a refusal could be wrong.
        if (!segment->has(RstFlag) && m_latestVersion <= m_directory.routes()->version()) {
            reset(key,
                  segment->acknowledgement,
                  QStringLiteral("reason=no-route routes=%1").arg(m_directory.routes()->version()),
                  EventNumber::FlowRefused,
                  actions);
        }
        m_flows.erase(key);
        return;
    }
    if (segment->isOpening()) {
        onOpening(now, packet, *segment, *route, actions);
    } else {
        onLaterSegment(now, packet, *segment, actions);
    }
}

void StreamBalancer::onMessage(TimePoint now, const StreamMessage &message, StreamActions &actions)
{
    m_latestVersion = std::max(m_latestVersion, message.configurationVersion);
    m_lastSeenAt[message.sender] = now;
    m_silentAgents.onMessage(message.sender);
    if (message.target != TargetId{}) {
        m_placement.onAgentMessage(now, message.target);
    }
    const auto found = m_flows.find(message.flow);
    switch (message.kind) {
    case StreamMessageKind::Held: {
        m_placement.onLoad(now, message.target, message.load);
        Flow &flow = found != m_flows.end() ? found->second : m_flows[message.flow];
        if (!flow.isHeld && !flow.opening.isEmpty()) {
            actions.emplace_back(RecordStreamTime{StreamTimer::Opening, now - flow.openedAt});
        }
        flow.target = message.target;
        flow.agent = message.sender;
        flow.service = message.service;
        flow.isHeld = true;
        flow.opening.clear();
        flow.locatedPacket.clear();
        recordActivity(now, message.flow, flow);
        break;
    }
    case StreamMessageKind::Waiting:
        m_placement.onLoad(now, message.target, message.load);
        if (found != m_flows.end()) {
            found->second.target = message.target;
            found->second.agent = message.sender;
            found->second.waitDeadline = now + m_settings.waitLimit;
        }
        break;
    case StreamMessageKind::NotHeld:
        if (found != m_flows.end() && found->second.agent == message.sender) {
            found->second.target = {};
            found->second.agent = {};
            found->second.isHeld = false;
        }
        break;
    case StreamMessageKind::Ended:
        // An agent that was offered the opening, or asked about the flow, does not end a flow that another one holds.
        if (found != m_flows.end() && (!found->second.isHeld || found->second.agent == message.sender)) {
            m_flows.erase(found);
        }
        break;
    case StreamMessageKind::Load:
        m_placement.onLoad(now, message.target, message.load);
        break;
    default:
        // The other kinds are for agents.
        break;
    }
    dropAnsweredOffers();
}

void StreamBalancer::dropAnsweredOffers()
{
    // They would cause a wake-up. Deadlines are judged by onTick() only: further answers may have been received already that are
    // still to be processed, and a balancer that is short of processor time would offer each of these openings again.
    while (!m_offers.empty()) {
        const auto found = m_flows.find(m_offers.front().second);
        if (found != m_flows.end() && (!found->second.isHeld || found->second.suspectAcknowledgement)) {
            return;
        }
        m_offers.pop_front();
    }
}

void StreamBalancer::onTick(TimePoint now, StreamActions &actions)
{
    m_directory.onTick(now);
    while (!m_offers.empty()) {
        const auto [deadline, key] = m_offers.front();
        const auto found = m_flows.find(key);
        if (found != m_flows.end()) {
            Flow &flow = found->second;
            const bool isDone = flow.suspectAcknowledgement    ? checkSuspectAgent(now, deadline, key, flow, actions)
                                : flow.locatedPacket.isEmpty() ? retryOffer(now, deadline, key, flow, actions)
                                                               : retryLookup(now, deadline, key, flow, actions);
            if (!isDone) {
                break;
            }
        }
        m_offers.pop_front();
    }
    if (now >= m_pingDeadline) {
        m_pingDeadline = TimePoint::max();
        for (const TargetId target : m_placement.takeDuePings(now)) {
            const TargetDirectory::Entry *entry = m_directory.find(target);
            if (entry == nullptr || !entry->isPresent()) {
                m_placement.onAgentMessage(now, target);
                continue;
            }
            m_silentAgents.recordProbe(now, entry->agent);
            actions.emplace_back(SendStreamMessage{entry->agent, messageTo(StreamMessageKind::Ping, *entry)});
            m_pingDeadline = now + m_settings.placement.pingInterval;
        }
    }
    for (const TargetProbation::Change &change : m_placement.takeProbationChanges()) {
        actions.emplace_back(RecordStreamEvent{change.isOnProbation ? EventNumber::TargetEjected : EventNumber::TargetReadmitted,
                                               {},
                                               QStringLiteral("target=%1 %2").arg(targetName(change.target), m_placement.describe(now, change.target))});
    }
    removeExpired(now);
}

bool StreamBalancer::retryOffer(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions)
{
    // Answered openings are removed early, so that they cause no wake-up.
    if (flow.isHeld || flow.opening.isEmpty() || now < flow.waitDeadline) {
        return true;
    }
    if (now < deadline) {
        return false;
    }
    m_placement.onUnanswered(now, flow.target);
    actions.emplace_back(
        RecordStreamEvent{EventNumber::OfferUnanswered, key, QStringLiteral("target=%1 offer=%2").arg(targetName(flow.target)).arg(flow.offers)});
    m_pingDeadline = now;
    if (flow.offers < m_settings.offerAttempts) {
        offerNext(now, key, flow, actions);
    }
    return true;
}

bool StreamBalancer::retryLookup(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions)
{
    // An agent confirms at once that it has started a lookup; the result may take longer.
    if (flow.isHeld || m_placement.wasSeenWithin(now, flow.lookupTarget, m_settings.offerTimeout)) {
        flow.locatedPacket.clear();
        return true;
    }
    if (now < deadline) {
        return false;
    }
    m_placement.onUnanswered(now, flow.lookupTarget);
    m_pingDeadline = now;
    if (flow.lookups < m_settings.offerAttempts) {
        locate(now, key, flow, actions);
    }
    return true;
}

bool StreamBalancer::checkSuspectAgent(TimePoint now, TimePoint deadline, const FlowKey &key, Flow &flow, StreamActions &actions)
{
    // The agent has answered, or the target is listed again.
    if (!isMissing(now, flow)) {
        flow.suspectAcknowledgement.reset();
        return true;
    }
    if (now < deadline) {
        return false;
    }
    if (!m_silentAgents.isGone(now, flow.agent)) {
        // An agent that is being restarted does not answer either.
        pingAgent(now, key, flow, actions);
        return true;
    }
    reset(key, *flow.suspectAcknowledgement, QStringLiteral("reason=target-gone target=%1").arg(targetName(flow.target)), EventNumber::FlowBroken, actions);
    m_flows.erase(key);
    return true;
}

void StreamBalancer::pingAgent(TimePoint now, const FlowKey &key, const Flow &flow, StreamActions &actions)
{
    m_offers.emplace_back(now + m_settings.offerTimeout, key);
    if (m_silentAgents.admitProbe(now, flow.agent)) {
        actions.emplace_back(SendStreamMessage{flow.agent, messageAbout(flow, StreamMessageKind::Ping)});
    }
}

TimePoint StreamBalancer::nextDeadline() const
{
    TimePoint next = std::min({m_directory.nextDeadline(), m_pingDeadline, m_stopDeadline.value_or(TimePoint::max())});
    if (!m_offers.empty()) {
        next = std::min(next, m_offers.front().first);
    }
    return next;
}

void StreamBalancer::onTargetProbed(TimePoint /*now*/, bool /*isProcessAlive*/, StreamActions & /*actions*/)
{
    // Balancers have no local target.
}

void StreamBalancer::onPause(TimePoint /*now*/)
{
    // Agents reject what an outdated balancer sends, so nothing needs to be suspended here.
}

void StreamBalancer::beginStop(TimePoint now, StreamActions & /*actions*/)
{
    m_stopDeadline = m_stopDeadline.value_or(now + m_settings.stopLinger);
}

void StreamBalancer::onWithdrawn(TimePoint now)
{
    if (m_stopDeadline) {
        m_stopDeadline = std::min(*m_stopDeadline, now + m_settings.withdrawnLinger);
    }
}

bool StreamBalancer::isStopped(TimePoint now) const
{
    return m_stopDeadline && now >= *m_stopDeadline;
}

void StreamBalancer::onNewPosition(TimePoint /*now*/, StreamActions & /*actions*/)
{
    // Agents learn the position from the next message that carries a packet.
}

void StreamBalancer::onStaleDirectory(TimePoint /*now*/, StreamActions &actions)
{
    StreamMessage query;
    query.kind = StreamMessageKind::Ping;
    query.sender = m_settings.endpoint;
    query.balancer = m_settings.endpoint;
    query.configurationVersion = m_directory.routes() != nullptr ? m_directory.routes()->version() : 0;
    for (const Endpoint &agent : DirectoryReaders::peersToQuery(m_directory, m_settings.placement.dataCentre, m_nextQuery++)) {
        actions.emplace_back(SendStreamMessage{agent, query});
    }
}

bool StreamBalancer::isReader()
{
    // Agents act as readers for balancers, which run on the smallest machines.
    return false;
}

bool StreamBalancer::isIsolated() const
{
    return DirectoryReaders::peersToQuery(m_directory, m_settings.placement.dataCentre, 0).empty();
}

bool StreamBalancer::isReady() const
{
    return m_directory.routes() != nullptr && m_directory.isComplete() && !m_stopDeadline;
}

void StreamBalancer::onOpening(TimePoint now, const QByteArray &packet, const Segment &segment, const Route &route, StreamActions &actions)
{
    const FlowKey key = segment.flowFromCaller();
    Flow &flow = m_flows[key];
    const bool isCopy = flow.openingSequence == segment.sequence && flow.offers > 0;
    if (isCopy && flow.isHeld) {
        // The target's answer was lost; the target sends it again.
        StreamMessage message = messageAbout(flow, StreamMessageKind::Opening);
        message.packet = packet;
        actions.emplace_back(SendStreamMessage{flow.agent, std::move(message)});
        recordActivity(now, key, flow);
        return;
    }
    if (isCopy && now < flow.waitDeadline) {
        return;
    }
    if (!isCopy) {
        flow = Flow{};
        flow.openingSequence = segment.sequence;
        flow.openedAt = now;
    }
    flow.position = FlowPosition::fromCaller(segment);
    flow.offers = 0;
    flow.isHeld = false;
    flow.candidates = candidatesFor(now, route, key);
    flow.nextCandidate = 0;
    flow.opening = QByteArray(packet.constData(), packet.size());
    recordActivity(now, key, flow);
    offerNext(now, key, flow, actions);
}

void StreamBalancer::onLaterSegment(TimePoint now, const QByteArray &packet, const Segment &segment, StreamActions &actions)
{
    const FlowKey key = segment.flowFromCaller();
    const FlowPosition position = FlowPosition::fromCaller(segment);
    auto found = m_flows.find(key);
    if (found != m_flows.end() && !found->second.position.fits(position)) {
        // The entry is about an earlier flow between these endpoints, whose opening passed another balancer.
        m_flows.erase(found);
        found = m_flows.end();
    }
    const bool isKnown = found != m_flows.end() && !found->second.agent.isNull();
    // If the target that was offered the opening last has left without an answer, another one has accepted the flow.
    if (!isKnown || (!found->second.isHeld && isMissing(now, found->second))) {
        if (!segment.has(RstFlag)) {
            Flow &unknown = m_flows[key];
            unknown.position = position;
            unknown.locatedPacket = QByteArray(packet.constData(), packet.size());
            unknown.lookups = 0;
            recordActivity(now, key, unknown);
            locate(now, key, unknown, actions);
        }
        return;
    }
    Flow &flow = found->second;
    flow.position = position;
    if (!segment.has(RstFlag) && isMissing(now, flow)) {
        // A target that is cut off from the source of the directory is still alive; its agent confirms it.
        if (!flow.suspectAcknowledgement) {
            pingAgent(now, key, flow, actions);
        }
        flow.suspectAcknowledgement = segment.acknowledgement;
    }
    StreamMessage message = messageAbout(flow, StreamMessageKind::Deliver);
    if (!flow.isHeld) {
        // The caller has received an answer that this balancer has not been notified of: it may come from any target
        // that was tried.
        message.candidates.assign(flow.candidates.begin(), flow.candidates.begin() + static_cast<std::ptrdiff_t>(flow.nextCandidate));
        std::erase(message.candidates, flow.target);
    }
    message.packet = packet;
    relayRepeated(now, key, flow, segment, message, actions);
    actions.emplace_back(SendStreamMessage{flow.agent, std::move(message)});
    recordActivity(now, key, flow);
    flow.isFinished = segment.has(FinFlag) || segment.has(RstFlag);
}

void StreamBalancer::relayRepeated(TimePoint now, const FlowKey &key, Flow &flow, const Segment &segment, const StreamMessage &message, StreamActions &actions)
    const
{
    if (segment.dataLength == 0) {
        return;
    }
    const bool isRepeated = flow.dataSequence == segment.sequence;
    flow.dataSequence = segment.sequence;
    if (!isRepeated || !flow.isHeld || !m_settings.relaysRepeatedSegments) {
        return;
    }
    const auto isSilent = [this, now](TargetId target) {
        return m_placement.isSuspected(now, target);
    };
    if (const TargetDirectory::Entry *relay = RelayChoice::choose(m_directory, m_settings.placement.dataCentre, flow.target, key, isSilent)) {
        actions.emplace_back(SendStreamMessage{relay->agent, message});
    }
}

std::vector<TargetId> StreamBalancer::candidatesFor(TimePoint now, const Route &route, const FlowKey &flow)
{
    quint64 total = 0;
    for (const ServiceShare &share : route.shares) {
        total += share.weight;
    }
    // The share depends on the flow alone, so that each copy of an opening goes to the same service.
    quint64 point = total > 0 ? hashPair(flow.hash(), total) % total : 0;
    std::vector<ServiceId> services;
    for (const ServiceShare &share : route.shares) {
        if (point < share.weight) {
            services.insert(services.begin(), share.service);
            point = total;
            continue;
        }
        services.push_back(share.service);
        point -= point < total ? share.weight : 0;
    }
    for (const ServiceId service : services) {
        std::vector<TargetId> candidates = m_placement.order(now, m_directory, service, flow, m_settings.candidateLimit);
        if (!candidates.empty()) {
            return candidates;
        }
    }
    return {};
}

void StreamBalancer::offerNext(TimePoint now, const FlowKey &key, Flow &flow, StreamActions &actions)
{
    if (flow.candidates.empty()) {
        reset(key, 0, QStringLiteral("reason=no-target-takes-flows routes=%1").arg(m_directory.routes()->version()), EventNumber::FlowRefused, actions);
        m_flows.erase(key);
        return;
    }
    const std::size_t index = std::min(flow.nextCandidate, flow.candidates.size() - 1);
    flow.nextCandidate = index + 1;
    ++flow.offers;
    const TargetDirectory::Entry *entry = m_directory.find(flow.candidates[index]);
    if (entry == nullptr) {
        return;
    }
    flow.target = entry->target.id;
    flow.agent = entry->agent;
    flow.service = entry->target.service;
    StreamMessage message = messageTo(StreamMessageKind::Opening, *entry);
    message.candidates.assign(flow.candidates.begin() + static_cast<std::ptrdiff_t>(index) + 1, flow.candidates.end());
    message.packet = flow.opening;
    actions.emplace_back(RecordStreamEvent{EventNumber::FlowOffered,
                                           key,
                                           QStringLiteral("target=%1 offer=%2 candidates-left=%3 %4 routes=%5")
                                               .arg(entry->target.name)
                                               .arg(flow.offers)
                                               .arg(flow.candidates.size() - index - 1)
                                               .arg(m_placement.describe(now, flow.target))
                                               .arg(m_directory.routes()->version())});
    m_placement.onOffered(now, flow.target);
    m_offers.emplace_back(now + m_settings.offerTimeout, key);
    actions.emplace_back(SendStreamMessage{entry->agent, std::move(message)});
}

void StreamBalancer::locate(TimePoint now, const FlowKey &key, Flow &flow, StreamActions &actions)
{
    const Route *route = m_directory.routes()->findRoute(key.service);
    if (route == nullptr) {
        return;
    }
    // All packets of a flow go to the same agent as long as it answers, so that a single lookup serves them. An agent of
    // another service runs it if there is no other one: a service that the route used before may hold the flow.
    const TargetDirectory::Entry *best = nullptr;
    std::tuple<bool, bool, quint64> bestRank;
    for (const auto &[id, entry] : m_directory.entries()) {
        if (!entry.isPresent()) {
            continue;
        }
        const std::tuple rank(!m_placement.isSuspected(now, id), route->usesService(entry.target.service), hashPair(key.hash(), static_cast<quint64>(id)));
        if (best == nullptr || rank > bestRank) {
            best = &entry;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return;
    }
    ++flow.lookups;
    flow.lookupTarget = best->target.id;
    actions.emplace_back(RecordStreamEvent{EventNumber::FlowLocated, key, QStringLiteral("finder=%1 search=%2").arg(best->target.name).arg(flow.lookups)});
    StreamMessage message = messageTo(StreamMessageKind::Locate, *best);
    message.packet = flow.locatedPacket;
    m_offers.emplace_back(now + m_settings.offerTimeout, key);
    actions.emplace_back(SendStreamMessage{best->agent, std::move(message)});
}

QString StreamBalancer::targetName(TargetId target) const
{
    const TargetDirectory::Entry *entry = m_directory.find(target);
    return entry != nullptr ? entry->target.name : QStringLiteral("unknown");
}

bool StreamBalancer::wasSeenWithin(TimePoint now, const Endpoint &agent, Duration within) const
{
    const auto found = m_lastSeenAt.find(agent);
    return found != m_lastSeenAt.end() && now - found->second < within;
}

bool StreamBalancer::isMissing(TimePoint now, const Flow &flow) const
{
    const bool isPresent =
        std::ranges::any_of(m_directory.entries(), [&flow](const auto &item) { return item.second.agent == flow.agent && item.second.isPresent(); });
    // A missing entry alone proves nothing while the agent of the target still answers.
    if (isPresent || wasSeenWithin(now, flow.agent, m_settings.unlistedAgentTimeout)) {
        return false;
    }
    // A target that was never listed here may have lapsed before this process started, and may return soon.
    return m_directory.find(flow.target) != nullptr || m_directory.hasAllTargets(now);
}

void StreamBalancer::reset(const FlowKey &key, quint32 sequence, const QString &reason, EventNumber number, StreamActions &actions) const
{
    actions.emplace_back(SendToStreamCaller{key.caller, m_format.reset(key, sequence)});
    actions.emplace_back(RecordStreamEvent{number, key, reason});
}

StreamMessage StreamBalancer::messageTo(StreamMessageKind kind, const TargetDirectory::Entry &entry) const
{
    StreamMessage message;
    message.kind = kind;
    message.configurationVersion = m_directory.routes() != nullptr ? m_directory.routes()->version() : 0;
    message.sender = m_settings.endpoint;
    message.balancer = m_settings.endpoint;
    message.service = entry.target.service;
    message.target = entry.target.id;
    message.incarnation = entry.target.incarnation;
    return message;
}

StreamMessage StreamBalancer::messageAbout(const Flow &flow, StreamMessageKind kind) const
{
    if (const TargetDirectory::Entry *entry = m_directory.find(flow.target)) {
        return messageTo(kind, *entry);
    }
    StreamMessage message;
    message.kind = kind;
    message.configurationVersion = m_directory.routes()->version();
    message.sender = m_settings.endpoint;
    message.balancer = m_settings.endpoint;
    message.service = flow.service;
    message.target = flow.target;
    return message;
}

void StreamBalancer::recordActivity(TimePoint now, const FlowKey &key, Flow &flow)
{
    const bool isNew = flow.latestActivity == TimePoint{};
    flow.latestActivity = now;
    flow.isFinished = false;
    if (isNew) {
        m_checks.emplace_back(m_retention.nextCheck(now), key);
    }
}

void StreamBalancer::removeExpired(TimePoint now)
{
    while (!m_checks.empty() && now >= m_checks.front().first) {
        const FlowKey key = m_checks.front().second;
        m_checks.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            continue;
        }
        if (now < m_retention.expiry(found->second.latestActivity, found->second.isFinished)) {
            m_checks.emplace_back(m_retention.nextCheck(now), key);
            continue;
        }
        m_flows.erase(found);
    }
}

}
