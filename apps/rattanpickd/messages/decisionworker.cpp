#include "rattanpickd/messages/decisionworker.h"

namespace Rattanpick
{

namespace
{

/// TargetAgent requires a tick at least every 10 ms.
constexpr Duration tickInterval = 5ms;
/// Describing the state costs more than the decision about a packet, so it is done only a few times a second.
constexpr Duration statusInterval = 200ms;
/// The most packets processed before the clock and the configuration are checked again.
constexpr int packetsPerStep = 256;

}

DecisionWorker::DecisionWorker(DaemonContext &context)
    : m_context(context)
    , m_suspicions(SuspicionListSettings{.seed = static_cast<quint64>(context.incarnation)})
{
}

void DecisionWorker::run()
{
    Histogram &stepTimes = m_context.metrics.histogram(QStringLiteral("decision.step-microseconds"));
    while (!m_context.isTerminating) {
        m_context.decisionWakeup.arm();
        const TimePoint begin = Clock::now();
        if (!step()) {
            m_context.decisionWakeup.wait(tickInterval);
            continue;
        }
        stepTimes.add(std::chrono::duration<double, std::micro>(Clock::now() - begin).count());
    }
}

QJsonObject DecisionWorker::status() const
{
    const std::scoped_lock lock(m_statusMutex);
    return m_status;
}

void DecisionWorker::send(const Endpoint &to, std::variant<PeerMessage, SendToCaller, TargetCommand> content)
{
    m_context.pushOrCount(m_context.decided, m_context.sendWakeup, Outgoing{to, std::move(content)});
}

void DecisionWorker::reportPeerVersion(const PeerMessage &message, const ConfigurationVersion &own)
{
    const auto *notice = std::get_if<VersionNotice>(&message.body);
    if (notice == nullptr && message.header.version == own) {
        return;
    }
    const std::optional<VersionNotice> reported = notice != nullptr ? std::optional(*notice) : std::nullopt;
    m_context.pushOrCount(m_context.versions, m_context.configurationWakeup, PeerVersion{message.header.senderEndpoint, message.header.version, reported});
}

void DecisionWorker::spreadSuspicion(TimePoint now, const Suspicion &suspicion, quint8 hopCount, const TunnelHeader &header)
{
    std::vector<SendSuspicion> forwarded;
    m_suspicions.onSuspicion(now, suspicion, hopCount, m_instances, forwarded);
    for (const SendSuspicion &action : forwarded) {
        PeerMessage message{header, action.suspicion};
        message.header.hopCount = action.hopCount;
        send(action.to, std::move(message));
    }
}

bool DecisionWorker::step()
{
    bool hasWorked = false;
    while (std::optional<ConfigurationUpdate> update = m_context.updates.pop()) {
        if (update->instances != nullptr) {
            m_instances = *update->instances;
        }
        onUpdate(Clock::now(), *update);
        hasWorked = true;
    }
    for (int count = 0; count < packetsPerStep; ++count) {
        std::optional<Received> received = m_context.received.pop();
        if (!received) {
            break;
        }
        onReceived(Clock::now(), *received);
        hasWorked = true;
    }
    const TimePoint now = Clock::now();
    if (m_context.isStopping && !m_isStopNoticed) {
        m_isStopNoticed = true;
        onStop(now);
    }
    if (now >= m_tickDeadline) {
        m_tickDeadline = now + tickInterval;
        onTick(now);
    }
    if (now >= m_statusDeadline) {
        m_statusDeadline = now + statusInterval;
        const std::scoped_lock lock(m_statusMutex);
        m_status = describe(now);
    }
    m_isStopped = m_isStopNoticed && hasStopped(now);
    return hasWorked;
}

}
