#include "rattanpickd/messages/balancerworker.h"

#include "balancer/homerouting.h"

namespace Rattanpick
{

namespace
{

/// The fabric keeps sending to a balancer for a moment after the stop was announced to it.
constexpr Duration lingerTime = 2s;
/// Interval of the check for expired suspicions.
constexpr Duration refuteInterval = 1s;

}

BalancerWorker::BalancerWorker(DaemonContext &context)
    : DecisionWorker(context)
    , m_router(RouterSettings{}, std::make_unique<HomeRouting>())
    , m_forwarded(context.metrics.counter(QStringLiteral("packets.forwarded")))
{
}

void BalancerWorker::onUpdate(TimePoint now, const ConfigurationUpdate &update)
{
    m_router.onTick(now);
    if (update.configuration != nullptr && version() < update.configuration->version()) {
        m_router.applyConfiguration(update.configuration);
    }
}

void BalancerWorker::onReceived(TimePoint now, Received &received)
{
    if (auto *packet = std::get_if<InnerPacket>(&received.content)) {
        forward(now, *packet);
    } else if (const auto *message = std::get_if<PeerMessage>(&received.content)) {
        onPeerMessage(received, now, *message);
    }
}

void BalancerWorker::onTick(TimePoint now)
{
    m_router.onTick(now);
    if (m_router.pauseCount() != m_pauses) {
        m_pauses = m_router.pauseCount();
        m_context.log.record(EventNumber::PauseNoticed, QStringLiteral("packets are dropped until a version is compared"));
    }
    refuteExpired(now);
}

void BalancerWorker::onStop(TimePoint now)
{
    m_stopDeadline = now + lingerTime;
}

bool BalancerWorker::hasStopped(TimePoint now) const
{
    return now >= m_stopDeadline;
}

QJsonObject BalancerWorker::describe(TimePoint) const
{
    return {{QStringLiteral("version"), version().toString()},
            {QStringLiteral("holding"), m_router.isQuarantined()},
            {QStringLiteral("pauses"), static_cast<qint64>(m_router.pauseCount())},
            {QStringLiteral("unansweredHolds"), static_cast<qint64>(m_router.unansweredQuarantines())},
            {QStringLiteral("suspects"), static_cast<qint64>(m_router.suspectCount())},
            {QStringLiteral("instances"), m_instances.size()}};
}

void BalancerWorker::forward(TimePoint now, InnerPacket &packet)
{
    const RouteDecision decision = m_router.route(now, packet.flow);
    if (decision.drop != DropReason::None) {
        m_context.drops.count(decision.drop);
        return;
    }
    PeerMessage message{header(), Forward{decision.hops, packet.flow, std::move(packet.payload)}};
    message.header.service = decision.service;
    message.header.destination = decision.next.target;
    send(decision.next.endpoint, std::move(message));
    m_forwarded.add();
}

void BalancerWorker::onPeerMessage(const Received &received, TimePoint now, const PeerMessage &message)
{
    reportPeerVersion(message, version());
    m_router.onVersionCompared(received.at, message.header.version);
    const auto *suspicion = std::get_if<Suspicion>(&message.body);
    // A suspicion that names its reporter is not confirmed yet; only agents of the service evaluate those.
    if (suspicion == nullptr || suspicion->reporter != TargetId{}) {
        return;
    }
    spreadSuspicion(now, *suspicion, message.header.hopCount, header());
    const bool isSuspected = m_suspicions.isSuspected(now, suspicion->suspect.target);
    Suspicion evaluated = *suspicion;
    evaluated.isRefuted = !isSuspected;
    m_router.onSuspicion(now, evaluated);
    if (isSuspected) {
        m_activeSuspicions.push_back(evaluated);
    }
    m_context.log.record(isSuspected ? EventNumber::PeerSuspected : EventNumber::PeerRefuted, evaluated.suspect.endpoint.toString());
}

void BalancerWorker::refuteExpired(TimePoint now)
{
    if (now < m_refuteDeadline) {
        return;
    }
    m_refuteDeadline = now + refuteInterval;
    std::erase_if(m_activeSuspicions, [this, now](Suspicion &suspicion) {
        if (m_suspicions.isSuspected(now, suspicion.suspect.target)) {
            return false;
        }
        suspicion.isRefuted = true;
        m_router.onSuspicion(now, suspicion);
        return true;
    });
}

ConfigurationVersion BalancerWorker::version() const
{
    return m_router.configuration() != nullptr ? m_router.configuration()->version() : ConfigurationVersion{};
}

TunnelHeader BalancerWorker::header() const
{
    TunnelHeader header;
    header.version = version();
    header.senderEndpoint = m_context.settings.tunnel;
    header.senderIncarnation = m_context.incarnation;
    return header;
}

}
