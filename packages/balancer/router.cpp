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
    noticePause(now);
    const auto target = static_cast<quint32>(suspicion.suspect.target);
    if (suspicion.isRefuted) {
        m_suspects.erase(target);
        return;
    }
    // A target that the document does not name is no candidate; ignoring it bounds the set.
    if (m_configuration != nullptr && m_configuration->findTarget(suspicion.suspect.target) != nullptr) {
        m_suspects.insert(target);
    }
}

void Router::onTick(TimePoint now)
{
    noticePause(now);
    if (m_isHolding && now >= m_holdDeadline) {
        // A balancer that no peer answers must go on serving with what it has.
        m_isHolding = false;
        ++m_unansweredHolds;
    }
}

void Router::onVersionCompared(TimePoint receivedAt, const ConfigurationVersion &peerVersion)
{
    if (!m_isHolding || receivedAt < m_holdSince) {
        return;
    }
    if (m_configuration != nullptr && m_configuration->version() >= peerVersion) {
        m_isHolding = false;
    }
}

RouteDecision Router::route(TimePoint now, const FlowKey &flow)
{
    noticePause(now);
    RouteDecision decision;
    if (m_configuration == nullptr) {
        decision.drop = DropReason::NoConfiguration;
        return decision;
    }
    if (m_isHolding) {
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
    // If every hop is suspected the suspicions are as likely wrong as right, and a balancer never refuses for a target.
    decision.next = decision.hops.at(0);
    for (std::size_t index = 0; index < decision.hops.size(); ++index) {
        if (!m_suspects.contains(static_cast<quint32>(decision.hops.at(index).target))) {
            decision.next = decision.hops.at(index);
            break;
        }
    }
    return decision;
}

void Router::noticePause(TimePoint now)
{
    if (m_pauseDeadline && now > *m_pauseDeadline) {
        ++m_pauses;
        m_isHolding = true;
        m_holdSince = now;
        m_holdDeadline = now + m_settings.holdLimit;
    }
    m_pauseDeadline = now + m_settings.pauseLimit;
}

}
