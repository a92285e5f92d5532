#include "agent/agentcontext.h"

#include <utility>

namespace Rattanpick
{

AgentContext::AgentContext(const TargetAgentSettings &settings)
    : m_settings(settings)
    , m_random(hashPair(settings.seed, static_cast<quint64>(settings.incarnation)))
{
    RP_ASSERT(settings.target != TargetId{});
    RP_ASSERT(settings.service != ServiceId{});
    RP_ASSERT(settings.incarnation != Incarnation{});
    m_tables.restrictTo(settings.service);
}

// Identity

Incarnation AgentContext::nextFlowIncarnation()
{
    // 64 random bits from a seed that includes the process incarnation, so that no earlier process has used the same
    // value.
    const quint64 value = m_random();
    return Incarnation{value == 0 ? 1 : value};
}

// Configuration

ConfigurationVersion AgentContext::version() const
{
    return configuration() ? configuration()->version() : ConfigurationVersion{};
}

CandidateTable::Candidates AgentContext::candidatesOf(const FlowKey &flow) const
{
    const CandidateTable *table = m_tables.current(m_settings.service);
    return table ? table->candidatesOf(flow) : CandidateTable::Candidates{};
}

Hop AgentContext::homeAgentOf(const FlowKey &flow) const
{
    for (const Hop &candidate : candidatesOf(flow)) {
        if (candidate.target == TargetId{}) {
            break;
        }
        if (candidate.target != m_settings.target && m_peers.isSuspected(candidate.target)) {
            continue;
        }
        return candidate;
    }
    return {};
}

Hop AgentContext::retryCandidate(TimePoint now, const FlowKey &flow) const
{
    Hop best;
    int bestLoad = 0;
    for (const Hop &candidate : candidatesOf(flow)) {
        if (candidate.target == TargetId{} || candidate.target == m_settings.target || m_peers.isSuspected(candidate.target)) {
            continue;
        }
        // A newly started agent cannot tell whether an earlier process ran the request, and would report an unknown
        // outcome.
        if (!m_peers.isSettled(candidate.target)) {
            continue;
        }
        const int load = m_peers.loadOf(now, candidate.target).value_or(m_loadPermille);
        if (best.target == TargetId{} || load < bestLoad) {
            best = candidate;
            bestLoad = load;
        }
    }
    return best;
}

Hop AgentContext::currentHop(const Hop &hop) const
{
    const Target *target = configuration() ? configuration()->findTarget(hop.target) : nullptr;
    return target ? Hop{hop.target, target->agent} : hop;
}

// Messages

void AgentContext::setHeaderState(quint16 loadPermille, quint8 flags)
{
    m_loadPermille = loadPermille;
    m_flags = flags;
}

void AgentContext::send(const Hop &to, PeerBody body, AgentActions &actions, quint8 hopCount, quint8 flags) const
{
    TunnelHeader header;
    header.version = version();
    header.service = m_settings.service;
    header.destination = to.target;
    header.destinationIncarnation = m_peers.incarnationOf(to.target);
    header.sender = m_settings.target;
    header.senderEndpoint = m_settings.endpoint;
    header.senderIncarnation = m_settings.incarnation;
    header.loadPermille = m_loadPermille;
    header.hopCount = hopCount;
    header.flags = static_cast<quint8>(flags | m_flags);
    actions.emplace_back(SendToPeer{to.endpoint, PeerMessage{header, std::move(body)}});
}

void AgentContext::record(EventNumber number, const FlowKey &flow, const QString &detail, AgentActions &actions)
{
    actions.emplace_back(RecordEvent{number, flow, 0, detail});
}

}
