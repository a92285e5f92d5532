#include "rattanpickd/messages/agentworker.h"

#include <utility>

namespace Rattanpick
{

AgentWorker::AgentWorker(DaemonContext &context)
    : DecisionWorker(context)
{
}

void AgentWorker::onUpdate(TimePoint now, const ConfigurationUpdate &update)
{
    if (update.configuration != nullptr && version() < update.configuration->version()) {
        m_configuration = update.configuration;
        if (m_agent == nullptr) {
            createAgent(now, *m_configuration);
        }
        if (m_agent != nullptr) {
            m_agent->applyConfiguration(now, m_configuration, m_actions);
            execute(now, m_actions);
        }
    }
    applyInstances(now);
}

void AgentWorker::onReceived(TimePoint now, Received &received)
{
    if (const auto *message = std::get_if<PeerMessage>(&received.content)) {
        reportPeerVersion(*message, version());
        const auto *suspicion = std::get_if<Suspicion>(&message->body);
        if (suspicion != nullptr && suspicion->reporter == TargetId{}) {
            spreadSuspicion(now, *suspicion, message->header.hopCount, header());
        }
        if (m_agent == nullptr) {
            m_context.drops.count(DropReason::NoConfiguration);
            return;
        }
        m_agent->onPeerMessage(now, *message, m_actions);
    } else if (const auto *reply = std::get_if<TargetReply>(&received.content)) {
        if (m_agent == nullptr) {
            return;
        }
        m_agent->onTargetReply(now, *reply, m_actions);
    }
    execute(now, m_actions);
}

void AgentWorker::onTick(TimePoint now)
{
    if (m_agent != nullptr) {
        m_agent->onTick(now, m_actions);
        execute(now, m_actions);
    }
}

void AgentWorker::onStop(TimePoint now)
{
    if (m_agent != nullptr) {
        m_agent->beginStop(now, m_actions);
        execute(now, m_actions);
    }
}

bool AgentWorker::hasStopped(TimePoint) const
{
    return m_agent == nullptr || m_agent->isStopped();
}

QJsonObject AgentWorker::describe(TimePoint now) const
{
    if (m_agent == nullptr) {
        return {{QStringLiteral("version"), version().toString()}, {QStringLiteral("named"), false}};
    }
    const TargetAgentStatus status = m_agent->status(now);
    return {{QStringLiteral("version"), status.version.toString()},
            {QStringLiteral("named"), true},
            {QStringLiteral("recovering"), status.isRecovering},
            {QStringLiteral("draining"), status.isDraining},
            {QStringLiteral("stopping"), status.isStopping},
            {QStringLiteral("fenced"), status.isFenced},
            {QStringLiteral("ownedFlows"), static_cast<qint64>(status.ownedFlows)},
            {QStringLiteral("directoryEntries"), static_cast<qint64>(status.directoryEntries)},
            {QStringLiteral("unconfirmedEntries"), static_cast<qint64>(status.unconfirmedEntries)},
            {QStringLiteral("pendingOpenings"), static_cast<qint64>(status.pendingOpenings)},
            {QStringLiteral("queuedRequests"), static_cast<qint64>(status.queuedRequests)},
            {QStringLiteral("deliveredRequests"), static_cast<qint64>(status.deliveredRequests)},
            {QStringLiteral("loadPermille"), status.loadPermille},
            {QStringLiteral("warmPermille"), status.warmPermille},
            {QStringLiteral("instances"), m_instances.size()}};
}

void AgentWorker::createAgent(TimePoint now, const Configuration &configuration)
{
    const TargetId id = targetIdOf(m_context.settings.target.toUtf8());
    const Target *target = configuration.findTarget(id);
    if (target == nullptr) {
        return;
    }
    TargetAgentSettings settings;
    settings.targetName = m_context.settings.target;
    settings.target = id;
    settings.service = target->service;
    settings.dataCentre = m_context.settings.dataCentre;
    settings.endpoint = m_context.settings.tunnel;
    settings.incarnation = m_context.incarnation;
    settings.seed = static_cast<quint64>(m_context.incarnation);
    m_agent = std::make_unique<TargetAgent>(settings, now);
}

void AgentWorker::applyInstances(TimePoint now)
{
    // An empty list has not been received yet; it is no evidence that an agent is gone.
    if (m_agent == nullptr || m_instances.isEmpty()) {
        return;
    }
    std::unordered_set<quint32> live;
    for (const Instance &instance : m_instances) {
        if (instance.name == m_context.settings.name) {
            m_agent->setLeaving(now, instance.isLeaving, m_actions);
        }
        if (instance.role == InstanceRole::Agent && !instance.isLeaving) {
            live.insert(static_cast<quint32>(instance.target));
        }
    }
    for (const quint32 target : m_listed) {
        if (!live.contains(target)) {
            m_agent->setListedLive(TargetId{target}, false);
        }
    }
    for (const quint32 target : live) {
        m_agent->setListedLive(TargetId{target}, true);
    }
    m_listed = std::move(live);
    execute(now, m_actions);
}

void AgentWorker::execute(TimePoint now, AgentActions &actions)
{
    for (AgentAction &action : actions) {
        execute(now, action);
    }
    actions.clear();
}

void AgentWorker::execute(TimePoint now, AgentAction &action)
{
    if (auto *toPeer = std::get_if<SendToPeer>(&action)) {
        send(toPeer->to, std::move(toPeer->message));
    } else if (auto *toCaller = std::get_if<SendToCaller>(&action)) {
        const Endpoint caller = toCaller->flow.caller;
        send(caller, std::move(*toCaller));
    } else if (auto *toTarget = std::get_if<SendToTarget>(&action)) {
        send(m_context.settings.targetLink, std::move(toTarget->command));
    } else if (const auto *event = std::get_if<RecordEvent>(&action)) {
        m_context.log.record(event->number, event->detail, event->flow.caller.isNull() ? QString() : event->flow.toString(), event->request);
    } else if (const auto *spread = std::get_if<SpreadSuspicion>(&action)) {
        spreadSuspicion(now, spread->suspicion, 0, header());
    } else if (const auto *drop = std::get_if<CountDrop>(&action)) {
        m_context.drops.count(drop->reason);
    }
    // FetchConfiguration needs no action here, because reportPeerVersion() passes every other version to the
    // configuration worker; the agent itself turns each RetryElsewhere into a message.
}

ConfigurationVersion AgentWorker::version() const
{
    return m_configuration != nullptr ? m_configuration->version() : ConfigurationVersion{};
}

TunnelHeader AgentWorker::header() const
{
    TunnelHeader header;
    header.version = version();
    header.senderEndpoint = m_context.settings.tunnel;
    header.senderIncarnation = m_context.incarnation;
    return header;
}

}
