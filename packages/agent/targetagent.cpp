#include "agent/targetagent.h"

#include "agent/agentcontext.h"
#include "agent/directoryrecovery.h"
#include "agent/directoryregistrar.h"
#include "agent/failuredetector.h"
#include "agent/flowadmission.h"
#include "agent/flowdirectory.h"
#include "agent/flowtable.h"
#include "agent/openingplacer.h"
#include "agent/requesttable.h"
#include "agent/targetprobes.h"
#include "caller/callermessagecodec.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace Rattanpick
{

namespace
{

/// Agents that a packet may pass before it is dropped; more means that tables disagree for too long.
constexpr quint8 maximumHops = 8;

/// The most openings that wait for a later configuration.
constexpr std::size_t parkedLimit = 1024;

/// Target incarnations remembered as replaced, so that their late replies are recognised.
constexpr std::size_t retiredIncarnationLimit = 8;

/// Time between two requests for a later configuration.
constexpr Duration fetchInterval = 100ms;

}

class TargetAgent::Private : public PlacementHost
{
public:
    Private(const TargetAgentSettings &settings, TimePoint now);

    // PlacementHost
    RefusalReason admissionRefusal(TimePoint now) const override;
    void takeFlow(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions) override;
    void confirmOwner(TimePoint now, const DirectoryEntry &entry, AgentActions &actions) override;
    void learnOwner(TimePoint now, const DirectoryEntry &entry) override;

    // Steps
    void step(TimePoint now, AgentActions &actions);
    void refreshState(TimePoint now);
    FlowAdmission::State admissionState(TimePoint now) const;
    void updateRefusals();
    void replaceRetries(TimePoint now, std::size_t from, AgentActions &actions);

    // Configuration
    void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions);
    void updateFence(TimePoint now, AgentActions &actions);
    void replayParked(TimePoint now, AgentActions &actions);

    // Packets
    void onForward(TimePoint now, const PeerMessage &message, const Forward &forward, AgentActions &actions);
    void onOpen(TimePoint now, const PeerMessage &message, const Forward &forward, const Open &open, AgentActions &actions);
    void onMidFlow(TimePoint now, const PeerMessage &message, const Forward &forward, const CallerMessage &body, AgentActions &actions);
    void deliver(TimePoint now, OwnedFlow &flow, const CallerMessage &body, AgentActions &actions);
    void passAlong(TimePoint now, const PeerMessage &message, Forward forward, bool isUncertain, AgentActions &actions);
    void forwardTo(const Hop &hop, const PeerMessage &message, const Forward &forward, AgentActions &actions);

    // Peer messages; versions and signs of life are taken from every header, so notices and heartbeats need no more.
    void handle(TimePoint now, const PeerMessage &message, const Forward &forward, AgentActions &actions)
    {
        onForward(now, message, forward, actions);
    }
    void handle(TimePoint, const PeerMessage &, const VersionNotice &, AgentActions &)
    {
    }
    void handle(TimePoint, const PeerMessage &, const Heartbeat &, AgentActions &)
    {
    }
    void handle(TimePoint now, const PeerMessage &message, const Offer &offer, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Accepted &accepted, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Declined &declined, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Withdraw &withdraw, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const FlowQuery &query, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const FlowReply &reply, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Register &registration, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Registered &registered, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Release &release, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const DirectoryDigest &digest, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const DirectoryPull &pull, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Suspicion &suspicion, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Retry &retry, AgentActions &actions);

    // Target
    void onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions);
    void onTargetFlowState(TimePoint now, const TargetFlowState &state, AgentActions &actions);
    void onTargetReplaced(TimePoint now, Incarnation incarnation, AgentActions &actions);

    // Flows
    bool canRecover(const FlowKey &flow, quint64 nonce);
    OwnedFlow &own(TimePoint now, const FlowKey &flow, quint64 nonce, bool isRecovered, AgentActions &actions);
    void endFlow(TimePoint now, const FlowKey &flow, EventNumber number, const QString &detail, AgentActions &actions);
    void breakFlow(TimePoint now, const FlowKey &flow, RefusalReason reason, const QString &detail, AgentActions &actions);
    void expireFlows(TimePoint now, AgentActions &actions);

    Hop senderOf(const PeerMessage &message) const
    {
        return {message.header.sender, message.header.senderEndpoint};
    }

    AgentContext m_context;
    FlowTable m_flows;
    FlowDirectory m_directory;
    DirectoryRegistrar m_registrar;
    DirectoryRecovery m_recovery;
    OpeningPlacer m_placer;
    FailureDetector m_detector;
    TargetProbes m_probes;
    FlowAdmission m_admission;
    RequestTable m_requests;

    std::deque<std::pair<TimePoint, PeerMessage>> m_parked;
    std::optional<TimePoint> m_fetchDeadline;
    TimePoint m_pauseDeadline;
    std::optional<TimePoint> m_holdMinimumDeadline;
    std::optional<TimePoint> m_holdDeadline;
    std::optional<TimePoint> m_fenceDeadline;
    std::optional<TimePoint> m_stopDeadline;
    TimePoint m_expiryDeadline;
    TimePoint m_targetSilenceDeadline;
    Incarnation m_targetIncarnation{};
    std::deque<Incarnation> m_retiredIncarnations;
    bool m_isDataCentreOut = false;
    bool m_isListedLeaving = false;
    bool m_isTargetDraining = false;
    bool m_isDocumentDraining = false;
};

TargetAgent::Private::Private(const TargetAgentSettings &settings, TimePoint now)
    : m_context(settings)
    , m_registrar(m_context)
    , m_recovery(m_context)
    , m_placer(m_context, *this)
    , m_detector(m_context)
    , m_probes(settings)
    , m_requests(RequestTableSettings{})
    , m_pauseDeadline(now + settings.pauseLimit)
    , m_expiryDeadline(now)
    , m_targetSilenceDeadline(now + settings.targetSilenceLimit)
{
}

// PlacementHost

RefusalReason TargetAgent::Private::admissionRefusal(TimePoint now) const
{
    return FlowAdmission::refusal(admissionState(now));
}

void TargetAgent::Private::takeFlow(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions)
{
    const OwnedFlow &owned = own(now, flow, nonce, false, actions);
    actions.emplace_back(SendToCaller{flow, Opened{nonce, owned.flowIncarnation}});
}

void TargetAgent::Private::confirmOwner(TimePoint now, const DirectoryEntry &entry, AgentActions &actions)
{
    m_directory.put(entry, FlowDirectory::Kind::Owned, now + m_context.settings().directoryRetention);
    actions.emplace_back(SendToCaller{entry.flow, Opened{entry.nonce, entry.flowIncarnation}});
}

void TargetAgent::Private::learnOwner(TimePoint now, const DirectoryEntry &entry)
{
    if (entry.owner.target == m_context.settings().target) {
        return;
    }
    m_directory.put(entry, FlowDirectory::Kind::Owned, now + m_context.settings().directoryRetention);
}

// Steps

void TargetAgent::Private::step(TimePoint now, AgentActions &actions)
{
    // A gap means that this process was paused: what it believes may be old, so it refuses packets until it has heard a peer.
    if (now >= m_pauseDeadline) {
        actions.emplace_back(RecordEvent{EventNumber::PauseNoticed, {}, 0, QStringLiteral("agent was paused")});
        m_holdMinimumDeadline = now + m_context.settings().holdMinimum;
        m_holdDeadline = now + m_context.settings().holdLimit;
        m_detector.restartWaiting(now);
    }
    m_pauseDeadline = now + m_context.settings().pauseLimit;
    if (m_holdDeadline && now >= *m_holdDeadline) {
        m_holdDeadline.reset();
    }
    refreshState(now);
}

void TargetAgent::Private::refreshState(TimePoint now)
{
    const quint8 recovery = m_recovery.isUncertain(now) ? TunnelHeader::recoveryFlag : 0;
    const quint8 stopping = m_stopDeadline ? TunnelHeader::stoppingFlag : 0;
    m_context.setHeaderState(m_admission.loadPermille(now, admissionState(now)), static_cast<quint8>(recovery | stopping));
}

FlowAdmission::State TargetAgent::Private::admissionState(TimePoint now) const
{
    FlowAdmission::State state;
    state.isStopping = m_stopDeadline.has_value();
    state.isDraining = m_isDocumentDraining || m_isListedLeaving || m_isTargetDraining;
    state.isDataCentreOut = m_isDataCentreOut;
    state.isRecovering = m_recovery.isRecovering(now);
    state.isTargetSilent = now >= m_targetSilenceDeadline;
    state.ownedFlows = m_flows.size();
    const Target *target = m_context.configuration() ? m_context.configuration()->findTarget(m_context.settings().target) : nullptr;
    state.connectionLimit = target ? target->connections : 0;
    state.slotCount = target ? target->slots : 1;
    state.requestLoadPermille = m_requests.loadPermille(now);
    state.warmPermille = std::clamp(static_cast<int>(m_requests.ramp().share() * 1000.0), 1, 1000);
    return state;
}

void TargetAgent::Private::updateRefusals()
{
    const bool isDraining = m_isDocumentDraining || m_isListedLeaving || m_isTargetDraining;
    if (m_isDataCentreOut) {
        m_requests.refuseNewRequests(RefusalReason::DataCentreOut);
    } else if (m_stopDeadline) {
        m_requests.refuseNewRequests(RefusalReason::Stopping);
    } else if (isDraining) {
        m_requests.refuseNewRequests(RefusalReason::Draining);
    } else {
        m_requests.refuseNewRequests(RefusalReason::None);
    }
}

void TargetAgent::Private::replaceRetries(TimePoint now, std::size_t from, AgentActions &actions)
{
    for (std::size_t index = from; index < actions.size(); ++index) {
        const auto *retry = std::get_if<RetryElsewhere>(&actions[index]);
        if (!retry) {
            continue;
        }
        // The least loaded other candidate gets the request; without one the refusal goes to the caller.
        Hop best;
        int bestLoad = 0;
        for (const Hop &candidate : m_context.candidatesOf(retry->flow)) {
            const bool isUsable =
                candidate.target != TargetId{} && candidate.target != m_context.settings().target && !m_context.peers().isSuspected(candidate.target);
            if (!isUsable) {
                continue;
            }
            const int load = m_context.peers().loadOf(now, candidate.target).value_or(m_context.loadPermille());
            if (best.target == TargetId{} || load < bestLoad) {
                best = candidate;
                bestLoad = load;
            }
        }
        if (best.target == TargetId{}) {
            actions[index] = SendToCaller{retry->flow, Refused{retry->request.nonce, retry->request.number, RefusalReason::Overloaded, Outcome::NotRun}};
            continue;
        }
        AgentActions message;
        m_context.send(best, Retry{retry->flow, encodeCallerMessage(retry->request)}, message);
        actions[index] = std::move(message.front());
    }
}

// Configuration

void TargetAgent::Private::applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions)
{
    RP_ASSERT(configuration != nullptr);
    RP_ASSERT(configuration->version() > m_context.version());
    // Numbers that rise by one leave no version out; after a gap the tables between are unknown.
    const bool isNext = configuration->version().number == m_context.version().number + 1;
    if (!isNext) {
        m_placer.setCompleteSince(configuration->version());
    }
    m_context.tables().applyConfiguration(configuration);

    const Target *target = configuration->findTarget(m_context.settings().target);
    const Service *service = configuration->findService(m_context.settings().service);
    // An agent whose target is no longer named keeps its flows and takes no new ones.
    m_isDocumentDraining = !target || target->service != m_context.settings().service || target->isDraining;
    if (target && service) {
        m_requests.setLimits(target->slots, service->coldSharePercent, service->warmSeconds, service->retryBudgetPercent);
    }

    m_detector.recompute(now);
    m_recovery.begin(now, actions);
    m_registrar.recompute(now, m_flows);
    updateFence(now, actions);
    updateRefusals();
    refreshState(now);
    replayParked(now, actions);
}

void TargetAgent::Private::updateFence(TimePoint now, AgentActions &actions)
{
    const DataCentre *dataCentre = m_context.configuration()->findDataCentre(m_context.settings().dataCentre);
    const bool isOut = dataCentre && dataCentre->isOut;
    if (isOut == m_isDataCentreOut) {
        return;
    }
    m_isDataCentreOut = isOut;
    actions.emplace_back(RecordEvent{isOut ? EventNumber::DataCentreOut : EventNumber::DataCentreIn, {}, 0, m_context.settings().dataCentre});
    if (isOut) {
        m_fenceDeadline = now + m_context.settings().fenceGrace;
    } else {
        m_fenceDeadline.reset();
    }
}

void TargetAgent::Private::replayParked(TimePoint now, AgentActions &actions)
{
    std::deque<std::pair<TimePoint, PeerMessage>> parked;
    parked.swap(m_parked);
    for (const auto &[deadline, message] : parked) {
        if (now >= deadline) {
            continue;
        }
        if (message.header.version > m_context.version()) {
            m_parked.emplace_back(deadline, message);
            continue;
        }
        onForward(now, message, std::get<Forward>(message.body), actions);
    }
}

// Packets

void TargetAgent::Private::onForward(TimePoint now, const PeerMessage &message, const Forward &forward, AgentActions &actions)
{
    if (m_isDataCentreOut) {
        actions.emplace_back(CountDrop{DropReason::DataCentreOut});
        return;
    }
    if (m_holdDeadline) {
        actions.emplace_back(CountDrop{DropReason::HoldingAfterPause});
        return;
    }
    if (!m_context.configuration()) {
        actions.emplace_back(CountDrop{DropReason::NoConfiguration});
        return;
    }
    if (message.header.hopCount >= maximumHops) {
        actions.emplace_back(CountDrop{DropReason::HopLimit});
        return;
    }
    const std::optional<CallerMessage> body = decodeCallerMessage(forward.payload);
    if (!body || nonceOf(*body) == 0) {
        actions.emplace_back(CountDrop{DropReason::Malformed});
        return;
    }
    Forward visited = forward;
    visited.hops.markVisited(m_context.settings().target);
    if (const auto *open = std::get_if<Open>(&*body)) {
        onOpen(now, message, visited, *open, actions);
    } else {
        onMidFlow(now, message, visited, *body, actions);
    }
}

void TargetAgent::Private::onOpen(TimePoint now, const PeerMessage &message, const Forward &forward, const Open &open, AgentActions &actions)
{
    // 1. What is decided already is repeated, whatever the versions.
    if (m_flows.hasEnded(forward.flow, open.nonce)) {
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    if (OwnedFlow *flow = m_flows.find(forward.flow, open.nonce)) {
        actions.emplace_back(SendToCaller{flow->flow, Opened{open.nonce, flow->flowIncarnation}});
        return;
    }
    if (const FlowDirectory::Record *record = m_directory.find(forward.flow, open.nonce)) {
        forwardTo(record->entry.owner, message, forward, actions);
        return;
    }
    if (m_placer.isPending(forward.flow, open.nonce)) {
        return;
    }
    const RefusalReason refusal = m_placer.recentRefusal(forward.flow, open.nonce);
    if (refusal != RefusalReason::None) {
        actions.emplace_back(SendToCaller{forward.flow, Refused{open.nonce, 0, refusal, Outcome::NotOpened}});
        return;
    }

    // 2. An opening is never placed under a version later than the one in force here.
    if (message.header.version > m_context.version()) {
        if (m_parked.size() >= parkedLimit) {
            actions.emplace_back(CountDrop{DropReason::QueueFull});
            return;
        }
        m_parked.emplace_back(now + m_context.settings().configurationWait, message);
        return;
    }

    // 3. Only the home under this agent's own configuration decides.
    const Hop home = m_context.homeOf(forward.flow);
    if (home.target == TargetId{}) {
        actions.emplace_back(CountDrop{DropReason::NoCandidate});
        return;
    }
    if (home.target != m_context.settings().target) {
        forwardTo(home, message, forward, actions);
        return;
    }
    if (m_recovery.isRecovering(now)) {
        actions.emplace_back(CountDrop{DropReason::NotPlaced});
        return;
    }
    m_placer.place(now, forward.flow, open.nonce, actions);
}

void TargetAgent::Private::onMidFlow(TimePoint now, const PeerMessage &message, const Forward &forward, const CallerMessage &body, AgentActions &actions)
{
    const quint64 nonce = nonceOf(body);
    if (OwnedFlow *flow = m_flows.find(forward.flow, nonce)) {
        deliver(now, *flow, body, actions);
        return;
    }
    if (m_flows.hasEnded(forward.flow, nonce)) {
        // The end of a flow may have been lost on its way to the caller.
        if (std::holds_alternative<Close>(body)) {
            actions.emplace_back(SendToCaller{forward.flow, Closed{nonce}});
        }
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    const FlowDirectory::Record *record = m_directory.find(forward.flow, nonce);
    if (record && record->entry.owner.target != m_context.settings().target) {
        forwardTo(record->entry.owner, message, forward, actions);
        return;
    }
    // The target is asked before the packet goes on: this process may have been restarted and forgotten the flow.
    PeerMessage kept = message;
    kept.body = forward;
    m_probes.probe(now, forward.flow, nonce, kept, actions);
}

void TargetAgent::Private::deliver(TimePoint now, OwnedFlow &flow, const CallerMessage &body, AgentActions &actions)
{
    flow.isUsed = true;
    flow.idleDeadline = now + m_context.settings().idleFlowTimeout;
    const FlowKey key = flow.flow;
    const std::size_t before = actions.size();
    if (const auto *data = std::get_if<Data>(&body)) {
        actions.emplace_back(SendToTarget{TargetData{key, data->nonce, data->sequence, data->payload}});
    } else if (const auto *dataAck = std::get_if<DataAck>(&body)) {
        actions.emplace_back(SendToTarget{TargetDataAck{key, dataAck->nonce, dataAck->sequence}});
    } else if (const auto *request = std::get_if<Request>(&body)) {
        m_requests.onRequest(now, key, *request, actions);
    } else if (const auto *cancel = std::get_if<Cancel>(&body)) {
        m_requests.onCancel(now, key, *cancel, actions);
    } else if (const auto *answerAck = std::get_if<AnswerAck>(&body)) {
        m_requests.onAnswerAck(now, key, *answerAck, actions);
    } else if (std::holds_alternative<KeepAlive>(body)) {
        actions.emplace_back(SendToCaller{key, Rebound{flow.nonce, flow.flowIncarnation}});
    } else if (std::holds_alternative<Close>(body)) {
        actions.emplace_back(SendToCaller{key, Closed{flow.nonce}});
        endFlow(now, key, EventNumber::FlowClosed, QStringLiteral("closed by the caller"), actions);
    } else {
        // Callers do not send what only the system says.
        actions.emplace_back(CountDrop{DropReason::Malformed});
    }
    replaceRetries(now, before, actions);
}

void TargetAgent::Private::passAlong(TimePoint now, const PeerMessage &message, Forward forward, bool isUncertain, AgentActions &actions)
{
    const bool wasUncertain = (message.header.flags & TunnelHeader::recoveryFlag) != 0 && message.header.sender != TargetId{};
    const bool isDoubtful = isUncertain || wasUncertain || m_recovery.isUncertain(now);
    const auto sendOn = [&](const Hop &hop) {
        const quint8 flags = isDoubtful ? TunnelHeader::recoveryFlag : 0;
        m_context.send(m_context.currentHop(hop), forward, actions, static_cast<quint8>(message.header.hopCount + 1), flags);
    };

    // Candidates under this agent's tables may not be in the list of a balancer that is behind or ahead.
    const HopList ownHops = m_context.tables().hopsOf(m_context.settings().service, forward.flow);
    for (std::size_t index = 0; index < ownHops.size(); ++index) {
        forward.hops.append(ownHops.at(index));
    }
    forward.hops.markVisited(m_context.settings().target);
    for (std::size_t index = 0; index < forward.hops.size(); ++index) {
        const Hop &hop = forward.hops.at(index);
        if (forward.hops.isVisited(index) || m_context.peers().isSuspected(hop.target)) {
            continue;
        }
        sendOn(hop);
        return;
    }
    if (isDoubtful || !forward.hops.allVisited() || message.header.version != m_context.version()) {
        actions.emplace_back(CountDrop{DropReason::UnknownFlow});
        return;
    }
    const std::optional<CallerMessage> body = decodeCallerMessage(forward.payload);
    RP_ASSERT(body.has_value());
    actions.emplace_back(SendToCaller{forward.flow, Reset{nonceOf(*body), RefusalReason::Forgotten}});
    AgentContext::record(EventNumber::FlowBroken, forward.flow, QStringLiteral("no agent or target knows the flow"), actions);
}

void TargetAgent::Private::forwardTo(const Hop &hop, const PeerMessage &message, const Forward &forward, AgentActions &actions)
{
    if (message.header.hopCount + 1 >= maximumHops) {
        actions.emplace_back(CountDrop{DropReason::HopLimit});
        return;
    }
    m_context.send(m_context.currentHop(hop), forward, actions, static_cast<quint8>(message.header.hopCount + 1));
}

// Peer messages

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const Offer &offer, AgentActions &actions)
{
    const Hop home = senderOf(message);
    if (OwnedFlow *flow = m_flows.find(offer.flow, offer.nonce)) {
        m_context.send(home, Accepted{offer.flow, offer.nonce, flow->flowIncarnation}, actions);
        return;
    }
    if (m_flows.hasEnded(offer.flow, offer.nonce)) {
        m_context.send(home, Declined{offer.flow, offer.nonce, RefusalReason::Forgotten}, actions);
        return;
    }
    const RefusalReason reason = m_holdDeadline ? RefusalReason::Recovering : admissionRefusal(now);
    if (reason != RefusalReason::None) {
        m_context.send(home, Declined{offer.flow, offer.nonce, reason}, actions);
        return;
    }
    const OwnedFlow &flow = own(now, offer.flow, offer.nonce, false, actions);
    m_context.send(home, Accepted{offer.flow, offer.nonce, flow.flowIncarnation}, actions);
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const Accepted &accepted, AgentActions &actions)
{
    const Hop from = senderOf(message);
    if (m_placer.onAccepted(now, from, accepted, actions)) {
        return;
    }
    // A late acceptance: the flow stays there only if the directory names that owner, or nobody else was named.
    const FlowDirectory::Record *record = m_directory.find(accepted.flow, accepted.nonce);
    const bool isElsewhere = m_placer.isPending(accepted.flow, accepted.nonce) || m_flows.find(accepted.flow, accepted.nonce)
                             || m_placer.recentRefusal(accepted.flow, accepted.nonce) != RefusalReason::None
                             || (record && record->entry.owner.target != from.target);
    if (isElsewhere) {
        m_context.send(from, Withdraw{accepted.flow, accepted.nonce}, actions);
        return;
    }
    learnOwner(now, DirectoryEntry{accepted.flow, accepted.nonce, from, accepted.flowIncarnation});
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const Declined &declined, AgentActions &actions)
{
    m_placer.onDeclined(now, message.header.sender, declined, actions);
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &, const Withdraw &withdraw, AgentActions &actions)
{
    const OwnedFlow *flow = m_flows.find(withdraw.flow, withdraw.nonce);
    // A flow whose caller has sent packets is in use: the caller was told of this owner.
    if (!flow || flow->isUsed) {
        return;
    }
    endFlow(now, withdraw.flow, EventNumber::FlowClosed, QStringLiteral("withdrawn by the home"), actions);
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const FlowQuery &query, AgentActions &actions)
{
    const Hop asker = senderOf(message);
    FlowReply reply;
    reply.entry.flow = query.flow;
    reply.entry.nonce = query.nonce;
    if (const OwnedFlow *flow = m_flows.find(query.flow, query.nonce)) {
        reply.isKnown = true;
        reply.entry.owner = m_context.self();
        reply.entry.flowIncarnation = flow->flowIncarnation;
        m_context.send(asker, reply, actions);
        return;
    }
    const FlowDirectory::Record *record = m_directory.find(query.flow, query.nonce);
    if (record && record->kind == FlowDirectory::Kind::Owned) {
        reply.isKnown = true;
        reply.entry = record->entry;
        m_context.send(asker, reply, actions);
        return;
    }
    // An opening in the hands of this agent, or a process that cannot know yet: the asker tries again later.
    if (m_placer.isPending(query.flow, query.nonce) || m_recovery.isRecovering(now)) {
        return;
    }
    // From now on the asker decides: a later opening under the earlier table goes there.
    reply.entry.owner = asker;
    m_directory.put(reply.entry, FlowDirectory::Kind::Deferred, now + m_context.settings().endedFlowMemory);
    m_context.send(asker, reply, actions);
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const FlowReply &reply, AgentActions &actions)
{
    m_placer.onFlowReply(now, message.header.sender, reply, actions);
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const Register &registration, AgentActions &actions)
{
    const Hop owner = senderOf(message);
    for (const DirectoryEntry &entry : registration.entries) {
        if (m_flows.find(entry.flow, entry.nonce)) {
            continue;
        }
        DirectoryEntry accepted = entry;
        accepted.owner = owner;
        m_directory.put(accepted, FlowDirectory::Kind::Owned, now + m_context.settings().directoryRetention);
    }
    m_context.send(owner, Registered{registration.batch}, actions);
}

void TargetAgent::Private::handle(TimePoint, const PeerMessage &message, const Registered &registered, AgentActions &)
{
    m_registrar.onRegistered(message.header.sender, registered.batch);
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const Release &release, AgentActions &)
{
    m_directory.release(release.flow, release.nonce, message.header.sender);
    m_flows.rememberEnd(release.flow, release.nonce, now + m_context.settings().endedFlowMemory);
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const DirectoryDigest &digest, AgentActions &actions)
{
    const TargetId owner = message.header.sender;
    const TargetId self = m_context.settings().target;
    const DirectoryDigest held = m_directory.digestOf(owner, [this, self](const FlowKey &flow) {
        const CandidateTable::Candidates candidates = m_context.candidatesOf(flow);
        return candidates[0].target == self || candidates[1].target == self;
    });
    m_recovery.onDigest(owner, digest, held);
    if (digest == held) {
        m_directory.refreshOwner(owner, now + m_context.settings().directoryRetention);
        return;
    }
    // Tables of different versions count different entries; a difference is only meant under one version.
    if (message.header.version == m_context.version() && digest.count > 0) {
        m_context.send(senderOf(message), DirectoryPull{}, actions);
    }
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &message, const DirectoryPull &, AgentActions &actions)
{
    m_registrar.answerPull(now, senderOf(message), actions);
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &, const Suspicion &suspicion, AgentActions &actions)
{
    if (m_detector.onSuspicion(now, suspicion, actions)) {
        m_registrar.recompute(now, m_flows);
    }
}

void TargetAgent::Private::handle(TimePoint now, const PeerMessage &, const Retry &retry, AgentActions &actions)
{
    const std::optional<CallerMessage> body = decodeCallerMessage(retry.payload);
    const auto *request = body ? std::get_if<Request>(&*body) : nullptr;
    if (!request || !request->isIdempotent) {
        actions.emplace_back(CountDrop{DropReason::Malformed});
        return;
    }
    // The caller repeats the request to its owner, which gives it to this agent again if it must.
    if (m_holdDeadline || m_isDataCentreOut) {
        actions.emplace_back(CountDrop{DropReason::DataCentreOut});
        return;
    }
    m_requests.onRetriedRequest(now, retry.flow, *request, actions);
}

// Target

void TargetAgent::Private::onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions)
{
    if (std::ranges::find(m_retiredIncarnations, reply.targetIncarnation) != m_retiredIncarnations.end()) {
        return;
    }
    m_targetSilenceDeadline = now + m_context.settings().targetSilenceLimit;
    if (m_targetIncarnation == Incarnation{}) {
        m_targetIncarnation = reply.targetIncarnation;
    } else if (m_targetIncarnation != reply.targetIncarnation) {
        onTargetReplaced(now, reply.targetIncarnation, actions);
    }

    const std::size_t before = actions.size();
    if (const auto *status = std::get_if<TargetStatus>(&reply.body)) {
        if (status->isDraining != m_isTargetDraining) {
            m_isTargetDraining = status->isDraining;
            actions.emplace_back(RecordEvent{
                EventNumber::TargetDraining, {}, 0, status->isDraining ? QStringLiteral("target drains") : QStringLiteral("target takes work again")});
            updateRefusals();
        }
    } else if (const auto *state = std::get_if<TargetFlowState>(&reply.body)) {
        onTargetFlowState(now, *state, actions);
    } else if (const auto *data = std::get_if<TargetData>(&reply.body)) {
        if (OwnedFlow *flow = m_flows.find(data->flow, data->nonce)) {
            flow->idleDeadline = now + m_context.settings().idleFlowTimeout;
            actions.emplace_back(SendToCaller{data->flow, Data{data->nonce, data->sequence, data->payload}});
        } else if (!canRecover(data->flow, data->nonce)) {
            actions.emplace_back(SendToTarget{TargetClose{data->flow, data->nonce}});
        } else {
            // Data of a flow that this process does not know: the target holds it, so the process was restarted.
            const OwnedFlow &recovered = own(now, data->flow, data->nonce, true, actions);
            actions.emplace_back(SendToCaller{data->flow, Rebound{data->nonce, recovered.flowIncarnation}});
            actions.emplace_back(SendToCaller{data->flow, Data{data->nonce, data->sequence, data->payload}});
        }
    } else if (const auto *dataAck = std::get_if<TargetDataAck>(&reply.body)) {
        if (m_flows.find(dataAck->flow, dataAck->nonce)) {
            actions.emplace_back(SendToCaller{dataAck->flow, DataAck{dataAck->nonce, dataAck->sequence}});
        }
    } else if (const auto *part = std::get_if<TargetAnswerPart>(&reply.body)) {
        m_requests.onTargetAnswerPart(now, *part, actions);
    } else if (const auto *shed = std::get_if<TargetShed>(&reply.body)) {
        m_requests.onTargetShed(now, *shed, actions);
    } else if (const auto *cancelled = std::get_if<TargetCancelled>(&reply.body)) {
        m_requests.onTargetCancelled(now, *cancelled, actions);
    }
    replaceRetries(now, before, actions);
}

void TargetAgent::Private::onTargetFlowState(TimePoint now, const TargetFlowState &state, AgentActions &actions)
{
    OwnedFlow *flow = m_flows.find(state.flow, state.nonce);
    if (flow && state.isKnown) {
        flow->targetOpenDeadline.reset();
    } else if (flow && !flow->targetOpenDeadline) {
        breakFlow(now, state.flow, RefusalReason::TargetLost, QStringLiteral("the target denies the flow"), actions);
    }

    const std::vector<PeerMessage> waiting = m_probes.take(state.flow, state.nonce);
    if (waiting.empty()) {
        return;
    }
    if (!state.isKnown) {
        for (const PeerMessage &message : waiting) {
            passAlong(now, message, std::get<Forward>(message.body), false, actions);
        }
        return;
    }
    if (!canRecover(state.flow, state.nonce)) {
        actions.emplace_back(SendToTarget{TargetClose{state.flow, state.nonce}});
        return;
    }
    if (!m_flows.find(state.flow, state.nonce)) {
        const OwnedFlow &recovered = own(now, state.flow, state.nonce, true, actions);
        actions.emplace_back(SendToCaller{state.flow, Rebound{state.nonce, recovered.flowIncarnation}});
    }
    for (const PeerMessage &message : waiting) {
        const auto &forward = std::get<Forward>(message.body);
        onMidFlow(now, message, forward, *decodeCallerMessage(forward.payload), actions);
    }
}

void TargetAgent::Private::onTargetReplaced(TimePoint now, Incarnation incarnation, AgentActions &actions)
{
    m_retiredIncarnations.push_back(m_targetIncarnation);
    if (m_retiredIncarnations.size() > retiredIncarnationLimit) {
        m_retiredIncarnations.pop_front();
    }
    m_targetIncarnation = incarnation;
    m_isTargetDraining = false;
    updateRefusals();
    actions.emplace_back(RecordEvent{EventNumber::TargetLost, {}, 0, QStringLiteral("the target process has been replaced")});
    // Outcomes are told before the flows that they belong to are given up.
    const std::size_t before = actions.size();
    m_requests.onTargetLost(now, actions);
    replaceRetries(now, before, actions);
    for (const OwnedFlow &flow : m_flows.matching([](const OwnedFlow &) { return true; })) {
        breakFlow(now, flow.flow, RefusalReason::TargetLost, QStringLiteral("the target process has been replaced"), actions);
    }
}

// Flows

bool TargetAgent::Private::canRecover(const FlowKey &flow, quint64 nonce)
{
    // A flow that has ended here, or that a later one of the same addresses replaced, is not taken back from the target.
    const OwnedFlow *present = m_flows.find(flow);
    return !m_flows.hasEnded(flow, nonce) && (!present || present->nonce == nonce);
}

OwnedFlow &TargetAgent::Private::own(TimePoint now, const FlowKey &flow, quint64 nonce, bool isRecovered, AgentActions &actions)
{
    // The same addresses with another nonce mean that the caller has given up its earlier flow.
    if (m_flows.find(flow)) {
        endFlow(now, flow, EventNumber::FlowClosed, QStringLiteral("replaced by a new flow of the same addresses"), actions);
    }
    m_directory.release(flow, nonce, m_context.settings().target);

    OwnedFlow owned;
    owned.flow = flow;
    owned.nonce = nonce;
    owned.flowIncarnation = m_context.nextFlowIncarnation();
    owned.isUsed = isRecovered;
    owned.idleDeadline = now + (isRecovered ? m_context.settings().idleFlowTimeout : m_context.settings().unusedFlowTimeout);
    if (!isRecovered) {
        owned.targetOpenDeadline = now + m_context.settings().targetOpenTimeout;
        actions.emplace_back(SendToTarget{TargetOpen{flow, nonce}});
        m_admission.onAdmitted(now);
    }
    OwnedFlow &added = m_flows.add(owned);
    m_requests.openFlow(flow, nonce, owned.flowIncarnation, isRecovered);
    m_registrar.add(now, added);
    AgentContext::record(isRecovered ? EventNumber::FlowRebound : EventNumber::FlowOpened, flow, {}, actions);
    refreshState(now);
    return added;
}

void TargetAgent::Private::endFlow(TimePoint now, const FlowKey &flow, EventNumber number, const QString &detail, AgentActions &actions)
{
    const OwnedFlow *owned = m_flows.find(flow);
    RP_ASSERT(owned != nullptr);
    actions.emplace_back(SendToTarget{TargetClose{flow, owned->nonce}});
    m_requests.closeFlow(now, flow, actions);
    m_registrar.remove(flow, actions);
    m_flows.end(flow, now + m_context.settings().endedFlowMemory);
    AgentContext::record(number, flow, detail, actions);
}

void TargetAgent::Private::breakFlow(TimePoint now, const FlowKey &flow, RefusalReason reason, const QString &detail, AgentActions &actions)
{
    const OwnedFlow *owned = m_flows.find(flow);
    RP_ASSERT(owned != nullptr);
    actions.emplace_back(SendToCaller{flow, Reset{owned->nonce, reason}});
    endFlow(now, flow, EventNumber::FlowBroken, detail, actions);
}

void TargetAgent::Private::expireFlows(TimePoint now, AgentActions &actions)
{
    for (const OwnedFlow &flow : m_flows.matching([now](const OwnedFlow &owned) { return now >= owned.idleDeadline; })) {
        endFlow(now, flow.flow, EventNumber::FlowClosed, flow.isUsed ? QStringLiteral("idle") : QStringLiteral("never used"), actions);
    }
    m_flows.forgetEnded(now);
    m_directory.forgetExpired(now);
}

// TargetAgent

TargetAgent::TargetAgent(const TargetAgentSettings &settings, TimePoint now)
    : d(std::make_unique<Private>(settings, now))
{
}

TargetAgent::~TargetAgent() = default;

// Configuration and membership

void TargetAgent::applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions)
{
    d->step(now, actions);
    d->applyConfiguration(now, configuration, actions);
}

void TargetAgent::setListedLive(TargetId target, bool isLive)
{
    d->m_context.peers().setListedLive(target, isLive);
}

void TargetAgent::setLeaving(TimePoint now, bool isLeaving, AgentActions &actions)
{
    d->step(now, actions);
    d->m_isListedLeaving = isLeaving;
    d->updateRefusals();
}

// Messages

void TargetAgent::onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions)
{
    d->step(now, actions);
    const TunnelHeader &header = message.header;
    // Addresses are used again: a message for another service or target must not be acted on.
    const bool isForNobody = header.destination == TargetId{};
    if (!isForNobody && (header.destination != d->m_context.settings().target || header.service != d->m_context.settings().service)) {
        actions.emplace_back(CountDrop{header.service != d->m_context.settings().service ? DropReason::UnknownService : DropReason::UnknownDestination});
        return;
    }

    const bool isOfService = header.service == d->m_context.settings().service && header.sender != TargetId{};
    if (isOfService) {
        const bool hadPeer = d->m_context.peers().incarnationOf(header.sender) != Incarnation{};
        if (d->m_context.peers().onMessage(now, header) && hadPeer) {
            d->m_registrar.resend(now, header.sender);
        }
        const bool wasSuspected = d->m_context.peers().isSuspected(header.sender);
        const bool isStopping = (header.flags & TunnelHeader::stoppingFlag) != 0;
        if (!isStopping) {
            d->m_detector.onSignOfLife(now, d->senderOf(message), header.senderIncarnation, actions);
        }
        if (wasSuspected && !isStopping) {
            d->m_registrar.recompute(now, d->m_flows);
        }
    }
    if (d->m_holdDeadline && now >= *d->m_holdMinimumDeadline && header.version <= d->m_context.version()) {
        d->m_holdDeadline.reset();
    }
    if (header.version.number == d->m_context.version().number && header.version.digest != d->m_context.version().digest) {
        // Two documents with one number: either may be in force somewhere.
        d->m_placer.setCompleteSince(d->m_context.version());
    }
    if (header.version > d->m_context.version() && (!d->m_fetchDeadline || now >= *d->m_fetchDeadline)) {
        d->m_fetchDeadline = now + fetchInterval;
        actions.emplace_back(FetchConfiguration{header.senderEndpoint});
    }

    std::visit([&](const auto &body) { d->handle(now, message, body, actions); }, message.body);
}

void TargetAgent::onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions)
{
    d->step(now, actions);
    d->onTargetReply(now, reply, actions);
}

void TargetAgent::onTick(TimePoint now, AgentActions &actions)
{
    d->step(now, actions);
    if (!d->m_context.configuration()) {
        return;
    }
    const std::size_t before = actions.size();
    d->m_requests.onTick(now, actions);
    d->replaceRetries(now, before, actions);
    d->m_placer.onTick(now, actions);
    d->m_recovery.onTick(now, actions);
    d->m_registrar.onTick(now, actions);
    const FlowAdmission::State state = d->admissionState(now);
    if (d->m_detector.onTick(now, state.isDraining, actions)) {
        d->m_registrar.recompute(now, d->m_flows);
    }
    for (const PeerMessage &message : d->m_probes.takeLate(now)) {
        // A target that does not answer may hold the flow.
        d->passAlong(now, message, std::get<Forward>(message.body), true, actions);
    }
    while (!d->m_parked.empty() && now >= d->m_parked.front().first) {
        d->m_parked.pop_front();
        actions.emplace_back(CountDrop{DropReason::NotPlaced});
    }
    if (d->m_fenceDeadline && (now >= *d->m_fenceDeadline || d->m_requests.isIdle())) {
        d->m_fenceDeadline.reset();
        for (const OwnedFlow &flow : d->m_flows.matching([](const OwnedFlow &) { return true; })) {
            d->breakFlow(now, flow.flow, RefusalReason::DataCentreOut, QStringLiteral("operators have taken the data centre out"), actions);
        }
    }
    if (now >= d->m_expiryDeadline) {
        d->m_expiryDeadline = now + d->m_context.settings().targetOpenTimeout;
        for (const OwnedFlow &flow :
             d->m_flows.matching([now](const OwnedFlow &owned) { return owned.targetOpenDeadline && now >= *owned.targetOpenDeadline; })) {
            d->m_flows.find(flow.flow)->targetOpenDeadline = now + d->m_context.settings().targetOpenTimeout;
            actions.emplace_back(SendToTarget{TargetOpen{flow.flow, flow.nonce}});
        }
        d->expireFlows(now, actions);
    }
}

// Planned stop

void TargetAgent::beginStop(TimePoint now, AgentActions &actions)
{
    d->step(now, actions);
    if (d->m_stopDeadline) {
        return;
    }
    d->m_stopDeadline = now + d->m_context.settings().stopLinger;
    d->updateRefusals();
    d->refreshState(now);
    actions.emplace_back(RecordEvent{EventNumber::ProcessStopping, {}, 0, QStringLiteral("planned stop")});
    d->m_detector.announceStop(actions);
}

bool TargetAgent::isStopped() const
{
    return d->m_stopDeadline && d->m_pauseDeadline - d->m_context.settings().pauseLimit >= *d->m_stopDeadline && d->m_requests.isIdle();
}

TargetAgentStatus TargetAgent::status(TimePoint now) const
{
    const FlowAdmission::State state = d->admissionState(now);
    TargetAgentStatus status;
    status.version = d->m_context.version();
    status.isRecovering = state.isRecovering;
    status.isDraining = state.isDraining;
    status.isStopping = state.isStopping;
    status.isFenced = state.isDataCentreOut;
    status.ownedFlows = state.ownedFlows;
    status.directoryEntries = d->m_directory.size();
    status.unconfirmedEntries = d->m_registrar.unconfirmed();
    status.pendingOpenings = d->m_placer.pendingCount();
    status.queuedRequests = d->m_requests.queuedRequests();
    status.deliveredRequests = d->m_requests.deliveredRequests();
    status.loadPermille = d->m_context.loadPermille();
    status.warmPermille = static_cast<quint16>(state.warmPermille);
    return status;
}

}
