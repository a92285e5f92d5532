#include "agent/peermessagehandler.h"

#include "caller/callermessagecodec.h"

namespace Rattanpick
{

namespace
{

/// Time between two requests for a later configuration.
constexpr Duration fetchInterval = 100ms;

Hop senderOf(const PeerMessage &message)
{
    return {message.header.sender, message.header.senderEndpoint};
}

}

PeerMessageHandler::PeerMessageHandler(AgentContext &context,
                                       AgentConditions &conditions,
                                       DirectoryRecovery &recovery,
                                       OwnedFlows &flows,
                                       OpeningPlacer &placer,
                                       FailureDetector &detector,
                                       PacketPath &path)
    : m_context(context)
    , m_conditions(conditions)
    , m_recovery(recovery)
    , m_flows(flows)
    , m_placer(placer)
    , m_detector(detector)
    , m_path(path)
{
}

void PeerMessageHandler::onMessage(TimePoint now, const PeerMessage &message, AgentActions &actions)
{
    const TunnelHeader &header = message.header;
    // Addresses are reused: a message for another service or target must not be processed.
    if (header.destination != TargetId{} && header.service != m_context.settings().service) {
        actions.emplace_back(CountDrop{DropReason::UnknownService});
        return;
    }
    if (header.destination != TargetId{} && header.destination != m_context.settings().target) {
        actions.emplace_back(CountDrop{DropReason::UnknownDestination});
        return;
    }
    processHeader(now, message, actions);
    std::visit([&](const auto &body) { handle(now, message, body, actions); }, message.body);
}

void PeerMessageHandler::processHeader(TimePoint now, const PeerMessage &message, AgentActions &actions)
{
    const TunnelHeader &header = message.header;
    if (header.service == m_context.settings().service && header.sender != TargetId{}) {
        // A restarted home agent has lost its directory.
        const bool wasKnown = m_context.peers().incarnationOf(header.sender) != Incarnation{};
        if (m_context.peers().onMessage(now, header) && wasKnown) {
            m_flows.registrar().resend(now, header.sender);
        }
        const bool isStopping = (header.flags & TunnelHeader::stoppingFlag) != 0;
        const bool wasSuspected = m_context.peers().isSuspected(header.sender);
        if (!isStopping) {
            m_detector.onPeerAlive(now, senderOf(message), header.senderIncarnation, actions);
        }
        if (wasSuspected && !isStopping) {
            m_flows.registrar().recompute(now, m_flows.table());
        }
    }
    if (m_conditions.isQuarantined() && now >= *m_conditions.minimumQuarantineDeadline && header.version <= m_context.version()) {
        m_conditions.quarantineDeadline.reset();
    }
    if (header.version.number == m_context.version().number && header.version.digest != m_context.version().digest) {
        // Two configurations have the same number: either may be in force at other agents.
        m_placer.setOldestKnownVersion(m_context.version());
    }
    if (header.version > m_context.version() && (!m_fetchDeadline || now >= *m_fetchDeadline)) {
        m_fetchDeadline = now + fetchInterval;
        actions.emplace_back(FetchConfiguration{header.senderEndpoint});
    }
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const Forward &forward, AgentActions &actions)
{
    m_path.onForward(now, message, forward, actions);
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const Offer &offer, AgentActions &actions)
{
    const Hop homeAgent = senderOf(message);
    if (const OwnedFlow *flow = m_flows.table().find(offer.flow, offer.nonce)) {
        m_context.send(homeAgent, Accepted{offer.flow, offer.nonce, flow->flowIncarnation}, actions);
        return;
    }
    RefusalReason reason = m_flows.admissionRefusal(now);
    if (m_conditions.isQuarantined()) {
        reason = RefusalReason::Recovering;
    } else if (m_flows.table().hasEnded(offer.flow, offer.nonce)) {
        reason = RefusalReason::Forgotten;
    }
    if (reason != RefusalReason::None) {
        m_context.send(homeAgent, Declined{offer.flow, offer.nonce, reason}, actions);
        return;
    }
    const OwnedFlow &flow = m_flows.own(now, offer.flow, offer.nonce, false, actions);
    m_context.send(homeAgent, Accepted{offer.flow, offer.nonce, flow.flowIncarnation}, actions);
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const Accepted &accepted, AgentActions &actions)
{
    const Hop from = senderOf(message);
    if (m_placer.onAccepted(now, from, accepted, actions)) {
        return;
    }
    // A late acceptance: the sender keeps the flow only if the directory names it as owner or has no entry.
    const FlowDirectory::Record *record = m_flows.directory().find(accepted.flow, accepted.nonce);
    const bool isElsewhere = m_placer.isPending(accepted.flow, accepted.nonce) || m_flows.table().find(accepted.flow, accepted.nonce)
                             || m_placer.recentRefusal(accepted.flow, accepted.nonce) != RefusalReason::None
                             || (record && record->entry.owner.target != from.target);
    if (isElsewhere) {
        m_context.send(from, Withdraw{accepted.flow, accepted.nonce}, actions);
        return;
    }
    m_flows.recordOwner(now, DirectoryEntry{accepted.flow, accepted.nonce, from, accepted.flowIncarnation});
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const Declined &declined, AgentActions &actions)
{
    m_placer.onDeclined(now, message.header.sender, declined, actions);
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage & /*message*/, const Withdraw &withdraw, AgentActions &actions)
{
    const OwnedFlow *flow = m_flows.table().find(withdraw.flow, withdraw.nonce);
    // A flow whose caller has sent packets is in use: the caller was assigned this owner.
    if (!flow || flow->isUsed) {
        return;
    }
    m_flows.end(now, withdraw.flow, EventNumber::FlowClosed, QStringLiteral("withdrawn by the home agent"), actions);
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const FlowQuery &query, AgentActions &actions)
{
    const Hop requester = senderOf(message);
    FlowReply reply;
    reply.entry.flow = query.flow;
    reply.entry.nonce = query.nonce;
    if (const OwnedFlow *flow = m_flows.table().find(query.flow, query.nonce)) {
        reply.isKnown = true;
        reply.entry.owner = m_context.self();
        reply.entry.flowIncarnation = flow->flowIncarnation;
        m_context.send(requester, reply, actions);
        return;
    }
    const FlowDirectory::Record *record = m_flows.directory().find(query.flow, query.nonce);
    if (record && record->namesOwner()) {
        reply.isKnown = true;
        reply.entry = record->entry;
        m_context.send(requester, reply, actions);
        return;
    }
    // No reply while this agent places the opening or recovers its directory: the query is repeated with a later
    // opening.
    if (m_placer.isPending(query.flow, query.nonce) || m_recovery.isRecovering(now)) {
        return;
    }
    // From now on the requester decides: a later opening under the earlier table is forwarded to it.
    reply.entry.owner = requester;
    m_flows.directory().put(now, reply.entry, FlowDirectory::Kind::Deferred, now + m_context.settings().endedFlowRetention);
    m_context.send(requester, reply, actions);
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const FlowReply &reply, AgentActions &actions)
{
    m_placer.onFlowReply(now, message.header.sender, reply, actions);
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const Register &registration, AgentActions &actions)
{
    const Hop owner = senderOf(message);
    for (const DirectoryEntry &entry : registration.entries) {
        if (m_flows.table().find(entry.flow, entry.nonce)) {
            continue;
        }
        // The owner of a flow never changes: a second one has a flow that is left over from a withdrawn offer.
        const FlowDirectory::Record *record = m_flows.directory().find(entry.flow, entry.nonce);
        if (record && record->namesOwner() && record->entry.owner.target != owner.target) {
            if (record->kind == FlowDirectory::Kind::Placed) {
                m_context.send(owner, Withdraw{entry.flow, entry.nonce}, actions);
            }
            continue;
        }
        DirectoryEntry accepted = entry;
        accepted.owner = owner;
        const FlowDirectory::Kind kind = record && record->namesOwner() ? record->kind : FlowDirectory::Kind::Owned;
        m_flows.directory().put(now, accepted, kind, now + m_context.settings().directoryRetention);
    }
    m_context.send(owner, Registered{registration.batch}, actions);
}

void PeerMessageHandler::handle(TimePoint /*now*/, const PeerMessage &message, const Registered &registered, AgentActions & /*actions*/)
{
    m_flows.registrar().onRegistered(message.header.sender, registered.batch);
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const Release &release, AgentActions & /*actions*/)
{
    // A withdrawn candidate releases a flow that another agent owns, possibly this one: this does not end the flow.
    if (m_flows.directory().release(release.flow, release.nonce, message.header.sender)) {
        m_flows.table().recordEnd(release.flow, release.nonce, now + m_context.settings().endedFlowRetention);
    }
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const DirectoryDigest &digest, AgentActions &actions)
{
    const TargetId owner = message.header.sender;
    const TargetId self = m_context.settings().target;
    const DirectoryDigest held = m_flows.directory().digestOf(owner, [this, self](const FlowKey &flow) {
        const CandidateTable::Candidates candidates = m_context.candidatesOf(flow);
        return candidates[0].target == self || candidates[1].target == self;
    });
    m_recovery.onDigest(owner, digest, held);
    const auto pulled = m_pullTimes.find(owner);
    if (digest == held) {
        m_flows.directory().refreshOwner(owner, now + m_context.settings().directoryRetention);
        m_pullTimes.erase(owner);
        return;
    }
    // The owner sends its digest after all of its entries, so entries from before the pull are outdated.
    if (pulled != m_pullTimes.end() && held.count > digest.count) {
        m_flows.directory().removeOlder(owner, pulled->second);
        m_pullTimes.erase(pulled);
        return;
    }
    // Tables of different versions count different entries, so digests are comparable only under the same version.
    if (message.header.version == m_context.version() && digest.count > 0) {
        m_pullTimes[owner] = now;
        m_context.send(senderOf(message), DirectoryPull{}, actions);
    }
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage &message, const DirectoryPull & /*pull*/, AgentActions &actions)
{
    m_flows.registrar().answerPull(now, senderOf(message), actions);
}

void PeerMessageHandler::handle(TimePoint /*now*/, const PeerMessage & /*message*/, const VersionNotice & /*notice*/, AgentActions & /*actions*/)
{
}

void PeerMessageHandler::handle(TimePoint /*now*/, const PeerMessage &message, const Heartbeat &heartbeat, AgentActions &actions)
{
    if (heartbeat.sequence == 0 && message.header.sender != TargetId{}) {
        m_detector.answerHeartbeat(senderOf(message), m_conditions.isDraining(), actions);
    }
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage & /*message*/, const Suspicion &suspicion, AgentActions &actions)
{
    if (m_detector.onSuspicion(now, suspicion, actions)) {
        m_flows.registrar().recompute(now, m_flows.table());
    }
}

void PeerMessageHandler::handle(TimePoint now, const PeerMessage & /*message*/, const Retry &retry, AgentActions &actions)
{
    const std::optional<CallerMessage> body = decodeCallerMessage(retry.payload);
    const auto *request = body ? std::get_if<Request>(&*body) : nullptr;
    if (!request || !request->isIdempotent) {
        actions.emplace_back(CountDrop{DropReason::Malformed});
        return;
    }
    // A request is handed over only once; if it is dropped here, it ends with an unknown outcome at the caller.
    if (m_conditions.isQuarantined() || m_conditions.isDataCentreOut) {
        actions.emplace_back(CountDrop{m_conditions.isQuarantined() ? DropReason::HoldingAfterPause : DropReason::DataCentreOut});
        return;
    }
    m_flows.requests().onRetriedRequest(now, retry.flow, *request, actions);
}

}
