#include "agent/ownedflows.h"

#include "caller/callermessagecodec.h"

#include <algorithm>
#include <utility>

namespace Rattanpick
{

OwnedFlows::OwnedFlows(AgentContext &context, AgentConditions &conditions, const DirectoryRecovery &recovery)
    : m_context(context)
    , m_conditions(conditions)
    , m_recovery(recovery)
    , m_registrar(context)
    , m_requests(context.settings().requests)
{
}

// PlacementHost

RefusalReason OwnedFlows::admissionRefusal(TimePoint now) const
{
    return FlowAdmission::refusal(admissionState(now));
}

void OwnedFlows::acceptFlow(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions)
{
    const OwnedFlow &owned = own(now, flow, nonce, false, actions);
    actions.emplace_back(SendToCaller{flow, Opened{nonce, owned.flowIncarnation}});
}

void OwnedFlows::confirmOwner(TimePoint now, const DirectoryEntry &entry, AgentActions &actions)
{
    m_directory.put(now, entry, FlowDirectory::Kind::Placed, now + m_context.settings().directoryRetention);
    actions.emplace_back(SendToCaller{entry.flow, Opened{entry.nonce, entry.flowIncarnation}});
}

void OwnedFlows::recordOwner(TimePoint now, const DirectoryEntry &entry)
{
    if (entry.owner.target == m_context.settings().target) {
        return;
    }
    m_directory.put(now, entry, FlowDirectory::Kind::Owned, now + m_context.settings().directoryRetention);
}

// Lifetime of a flow

OwnedFlow &OwnedFlows::own(TimePoint now, const FlowKey &flow, quint64 nonce, bool isRecovered, AgentActions &actions)
{
    // Another nonce on the same addresses means that the caller has abandoned its earlier flow.
    if (m_table.find(flow)) {
        end(now, flow, EventNumber::FlowClosed, QStringLiteral("replaced by a new flow of the same addresses"), actions);
    }

    const TargetAgentSettings &settings = m_context.settings();
    OwnedFlow owned;
    owned.flow = flow;
    owned.nonce = nonce;
    owned.flowIncarnation = m_context.nextFlowIncarnation();
    owned.isUsed = isRecovered;
    owned.idleDeadline = now + (isRecovered ? settings.idleFlowTimeout : settings.unusedFlowTimeout);
    if (!isRecovered) {
        owned.targetOpenDeadline = now + settings.targetOpenTimeout;
        actions.emplace_back(SendToTarget{TargetOpen{flow, nonce}});
    }
    OwnedFlow &added = m_table.add(owned);
    m_requests.openFlow(flow, nonce, owned.flowIncarnation, isRecovered);
    if (isRecovered) {
        m_registrar.add(now, added);
    }
    AgentContext::record(isRecovered ? EventNumber::FlowRebound : EventNumber::FlowOpened, flow, {}, actions);
    refreshHeader(now);
    return added;
}

void OwnedFlows::markUsed(TimePoint now, OwnedFlow &flow)
{
    flow.idleDeadline = now + m_context.settings().idleFlowTimeout;
    if (flow.isUsed) {
        return;
    }
    // With an earlier registration, a withdrawn candidate would replace the actual owner at the home agents.
    flow.isUsed = true;
    m_registrar.add(now, flow);
}

bool OwnedFlows::canRecover(const FlowKey &flow, quint64 nonce)
{
    const OwnedFlow *present = m_table.find(flow);
    return !m_table.hasEnded(flow, nonce) && (!present || present->nonce == nonce);
}

void OwnedFlows::recover(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions)
{
    RP_ASSERT(canRecover(flow, nonce));
    const OwnedFlow &recovered = own(now, flow, nonce, true, actions);
    actions.emplace_back(SendToCaller{flow, Rebound{nonce, recovered.flowIncarnation}});
}

void OwnedFlows::end(TimePoint now, const FlowKey &flow, EventNumber number, const QString &detail, AgentActions &actions)
{
    // The argument may refer to the entry that is removed below.
    const FlowKey key = flow;
    const OwnedFlow *owned = m_table.find(key);
    RP_ASSERT(owned != nullptr);
    actions.emplace_back(SendToTarget{TargetClose{key, owned->nonce}});
    m_requests.closeFlow(now, key, actions);
    m_registrar.remove(key, owned->nonce, actions);
    if (owned->isUsed) {
        m_table.end(key, now + m_context.settings().endedFlowRetention);
    } else {
        m_table.discard(key);
    }
    AgentContext::record(number, key, detail, actions);
}

void OwnedFlows::breakFlow(TimePoint now, const FlowKey &flow, RefusalReason reason, const QString &detail, AgentActions &actions)
{
    const OwnedFlow *owned = m_table.find(flow);
    RP_ASSERT(owned != nullptr);
    actions.emplace_back(SendToCaller{flow, Reset{owned->nonce, reason}});
    end(now, flow, EventNumber::FlowBroken, detail, actions);
}

void OwnedFlows::breakAll(TimePoint now, RefusalReason reason, const QString &detail, AgentActions &actions)
{
    for (const OwnedFlow &flow : m_table.matching([](const OwnedFlow &) { return true; })) {
        breakFlow(now, flow.flow, reason, detail, actions);
    }
}

// Time

void OwnedFlows::onTick(TimePoint now, AgentActions &actions)
{
    const std::size_t before = actions.size();
    m_requests.onTick(now, actions);
    sendRetries(now, before, actions);
    m_registrar.onTick(now, actions);

    // The checks below scan all flows, so they run less often than the tick.
    if (now < m_checkDeadline) {
        return;
    }
    m_checkDeadline = now + m_context.settings().targetOpenTimeout;
    for (const OwnedFlow &flow : m_table.matching([now](const OwnedFlow &owned) { return owned.targetOpenDeadline && now >= *owned.targetOpenDeadline; })) {
        m_table.find(flow.flow)->targetOpenDeadline = now + m_context.settings().targetOpenTimeout;
        actions.emplace_back(SendToTarget{TargetOpen{flow.flow, flow.nonce}});
    }
    for (const OwnedFlow &flow : m_table.matching([now](const OwnedFlow &owned) { return now >= owned.idleDeadline; })) {
        end(now, flow.flow, EventNumber::FlowClosed, flow.isUsed ? QStringLiteral("idle") : QStringLiteral("never used"), actions);
    }
    m_table.expireEnded(now);
    m_directory.removeExpired(now);
}

FlowAdmission::State OwnedFlows::admissionState(TimePoint now) const
{
    FlowAdmission::State state;
    state.isStopping = m_conditions.stopDeadline.has_value();
    state.isDraining = m_conditions.isDraining();
    state.isDataCentreOut = m_conditions.isDataCentreOut;
    state.isRecovering = m_recovery.isRecovering(now);
    state.isTargetSilent = now >= m_conditions.targetSilenceDeadline;
    state.ownedFlows = m_table.size();
    const Target *target = m_context.configuration() ? m_context.configuration()->findTarget(m_context.settings().target) : nullptr;
    state.connectionLimit = target ? target->connections : 0;
    state.slotCount = target ? target->slots : 1;
    state.busySlots = m_requests.deliveredRequests();
    state.requestLoadPermille = m_requests.loadPermille(now);
    state.warmPermille = std::clamp(static_cast<int>(m_requests.ramp().share() * 1000.0), 1, 1000);
    return state;
}

void OwnedFlows::refreshHeader(TimePoint now)
{
    const quint8 recovery = m_recovery.isUncertain(now) ? TunnelHeader::recoveryFlag : 0;
    const quint8 stopping = m_conditions.stopDeadline ? TunnelHeader::stoppingFlag : 0;
    const FlowAdmission::State state = admissionState(now);
    m_admission.observe(now, state);
    m_context.setHeaderState(m_admission.loadPermille(state), static_cast<quint8>(recovery | stopping));
}

void OwnedFlows::sendRetries(TimePoint now, std::size_t from, AgentActions &actions)
{
    for (std::size_t index = from; index < actions.size(); ++index) {
        const auto *retry = std::get_if<RetryElsewhere>(&actions[index]);
        if (!retry) {
            continue;
        }
        const RetryElsewhere request = *retry;
        const Hop candidate = m_context.retryCandidate(now, request.flow);
        AgentActions replacement;
        if (candidate.target == TargetId{}) {
            m_requests.onRetryNotPlaced(now, request.flow, request.request.nonce, request.request.number, replacement);
        } else {
            m_context.send(candidate, Retry{request.flow, encodeCallerMessage(request.request)}, replacement);
        }
        actions.erase(actions.begin() + static_cast<std::ptrdiff_t>(index));
        actions.insert(actions.begin() + static_cast<std::ptrdiff_t>(index), replacement.begin(), replacement.end());
        index += replacement.size();
        --index;
    }
}

}
