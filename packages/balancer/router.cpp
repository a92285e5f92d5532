#include "balancer/router.h"

#include "core/assertion.h"

namespace Rattanpick
{

Router::Router(const RouterSettings &settings, std::unique_ptr<RoutingStrategy> strategy)
    : m_settings(settings)
    , m_strategy(std::move(strategy))
{
    RP_ASSERT(m_strategy != nullptr);
}

void Router::applyConfiguration(const ConfigurationPointer &configuration)
{
    RP_ASSERT(configuration != nullptr);
    RP_ASSERT(m_configuration == nullptr || m_configuration->version() < configuration->version());
    m_configuration = configuration;
    m_strategy->applyConfiguration(configuration);
}

void Router::onSuspicion(TimePoint now, const Suspicion &suspicion)
{
    detectPause(now);
    const auto target = static_cast<quint32>(suspicion.suspect.target);
    if (suspicion.isRefuted) {
        m_suspects.erase(target);
        return;
    }
    // Targets that are not in the document are never candidates; ignoring them bounds the set.
    if (m_configuration != nullptr && m_configuration->findTarget(suspicion.suspect.target) != nullptr) {
        m_suspects.insert(target);
    }
}

void Router::onTick(TimePoint now)
{
    detectPause(now);
    if (m_isQuarantined && now >= m_quarantineDeadline) {
        // A balancer that no peer answers must continue to serve with its current configuration.
        m_isQuarantined = false;
        ++m_unansweredQuarantines;
    }
}

void Router::onVersionCompared(TimePoint receivedAt, const ConfigurationVersion &peerVersion)
{
    if (!m_isQuarantined || receivedAt < m_quarantineStart) {
        return;
    }
    if (m_configuration != nullptr && m_configuration->version() >= peerVersion) {
        m_isQuarantined = false;
    }
}

RouteDecision Router::route(TimePoint now, const FlowKey &flow)
{
    detectPause(now);
    RouteDecision decision;
    if (m_configuration == nullptr) {
        decision.drop = DropReason::NoConfiguration;
        return decision;
    }
    if (m_isQuarantined) {
        decision.drop = DropReason::HoldingAfterPause;
        return decision;
    }
    const Service *service = m_configuration->findService(flow.service);
    if (service == nullptr) {
        decision.drop = DropReason::UnknownService;
        return decision;
    }
    decision.service = service->id;
    decision.hops = m_strategy->hopsOf(service->id, flow);
    if (decision.hops.size() == 0) {
        decision.drop = DropReason::NoCandidate;
        return decision;
    }
    // If every hop is suspected, the suspicions are as likely false as true, and a balancer never refuses a flow on
    // behalf of a target: use the first hop.
    decision.next = decision.hops.at(0);
    for (std::size_t index = 0; index < decision.hops.size(); ++index) {
        if (!m_suspects.contains(static_cast<quint32>(decision.hops.at(index).target))) {
            decision.next = decision.hops.at(index);
            break;
        }
    }
    return decision;
}

void Router::detectPause(TimePoint now)
{
    if (m_pauseDeadline && now > *m_pauseDeadline) {
        ++m_pauses;
        m_isQuarantined = true;
        m_quarantineStart = now;
        m_quarantineDeadline = now + m_settings.quarantineLimit;
    }
    m_pauseDeadline = now + m_settings.pauseLimit;
}

}
