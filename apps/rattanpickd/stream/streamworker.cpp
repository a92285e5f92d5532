#include "rattanpickd/stream/streamworker.h"

#include "stream/streamagent.h"
#include "stream/streambalancer.h"
#include "stream/streammessagecodec.h"

#include <poll.h>

#include <QRandomGenerator>

#include <algorithm>
#include <array>

namespace Rattanpick
{

namespace
{

/// Interval of periodic work that has no deadline of its own.
constexpr Duration tickInterval = 500ms;
/// A longer gap between two steps means that the process was paused.
constexpr Duration pauseLimit = 1500ms;
/// A directory that no process has verified for longer is outdated. Above the age at which every process verifies the
/// directory itself, and below the time after which entries expire while the source is unavailable.
constexpr Duration outdatedAge = 2200ms;
/// Five bins per decade, from 0.1 ms to 10 s.
constexpr int timerBins = 25;
/// The platform stops sending callers to a process after this many failed readiness probes in a row.
constexpr int withdrawalProbeCount = 2;
/// Up to this many directory changes are logged one by one; the targets of a larger batch are logged in one summary
/// line, which bounds the log at the start of a process.
constexpr std::size_t maximumSingleRecords = 12;
/// The most batches discarded after a pause; bounds the work if packets keep arriving.
constexpr int maximumDiscardedBatches = 256;
/// Datagrams received per system call; more would cost memory without benefit at some hundred packets a second.
constexpr std::size_t receiveBatch = 16;

std::unique_ptr<StreamDecisions>
makeDecisions(const StreamProcessSettings &settings, const SegmentFormat &format, TimePoint now, void (*adjustAgent)(StreamAgentSettings &))
{
    // Agents listen on the same port on all machines, so the address of a target also gives the endpoint of its agent.
    const TargetDirectorySettings directory{.agentPort = settings.messages.port,
                                            .departedRetention = settings.maximumFlowAge,
                                            .routeHistory = {.maximumFlowAge = settings.maximumFlowAge, .isInitialStart = settings.isInitialStart}};
    if (settings.role == DaemonRole::Balancer) {
        StreamBalancerSettings balancer;
        balancer.endpoint = settings.messages;
        balancer.directory = directory;
        balancer.placement.dataCentre = settings.dataCentre;
        balancer.placement.balancing = settings.balancing;
        return std::make_unique<StreamBalancer>(balancer, format);
    }
    StreamAgentSettings agent;
    agent.endpoint = settings.messages;
    agent.target = settings.target;
    agent.service = serviceIdOf(settings.service.toUtf8());
    agent.dataCentre = settings.dataCentre;
    agent.startTime = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    agent.directory = directory;
    agent.coldFactor = settings.coldFactor;
    agent.coldSlack = settings.coldSlack;
    agent.balancing = settings.balancing;
    if (adjustAgent != nullptr) {
        adjustAgent(agent);
    }
    return std::make_unique<StreamAgent>(agent, format, now);
}

}

StreamWorker::StreamWorker(StreamContext &context, void (*adjustAgent)(StreamAgentSettings &))
    : m_context(context)
    , m_decisions(makeDecisions(context.settings, context.format, Clock::now(), adjustAgent))
    , m_freshness(FreshnessMonitorSettings{.seed = QRandomGenerator::system()->generate64()}, Clock::now())
    , m_messages(receiveBatch)
    , m_packets(receiveBatch)
    , m_latestStep(Clock::now())
    , m_receivedMessages(context.metrics.counter(QStringLiteral("messages.received")))
    , m_receivedPackets(context.metrics.counter(QStringLiteral("packets.received")))
    , m_malformedMessages(context.metrics.counter(QStringLiteral("messages.malformed")))
    , m_discarded(context.metrics.counter(QStringLiteral("packets.discarded-after-pause")))
    , m_sendFailures(context.metrics.counter(QStringLiteral("packets.send-failures")))
{
    constexpr std::array names{"opening.microseconds", "request.microseconds", "wait.microseconds"};
    static_assert(names.size() == static_cast<std::size_t>(StreamTimer::Count));
    for (std::size_t index = 0; index < names.size(); ++index) {
        m_timers[index] = &context.metrics.histogram(QLatin1String(names[index]), HistogramSettings{.lower = 100, .upper = 1e7, .bins = timerBins});
    }
}

bool StreamWorker::bind()
{
    const StreamProcessSettings &settings = m_context.settings;
    const Endpoint &packets = settings.role == DaemonRole::Balancer ? settings.callers : settings.outbound;
    for (const auto &[socket, endpoint] : {std::pair{&m_messages, settings.boundAt(settings.messages)}, std::pair{&m_packets, packets}}) {
        if (!socket->bind(endpoint)) {
            m_lastError = socket->lastError();
            return false;
        }
    }
    return true;
}

void StreamWorker::run()
{
    bool hasMessages = false;
    bool hasPackets = false;
    while (true) {
        m_context.packetWakeup.arm();
        step(hasMessages, hasPackets);
        const TimePoint now = Clock::now();
        if (m_isStopNoticed && m_decisions->isStopped(now)) {
            return;
        }
        std::array<pollfd, 4> descriptors{
            pollfd{m_messages.descriptor(), POLLIN, 0},
            pollfd{m_packets.descriptor(), POLLIN, 0},
            pollfd{m_context.packetWakeup.descriptor(), POLLIN, 0},
            pollfd{m_targetProbe.descriptor(), POLLOUT, 0},
        };
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(timeToNextDeadline(now)).count();
        const int ready = ::poll(descriptors.data(), descriptors.size(), static_cast<int>(wait));
        m_context.packetWakeup.disarm();
        hasMessages = ready > 0 && descriptors[0].revents != 0;
        hasPackets = ready > 0 && descriptors[1].revents != 0;
    }
}

void StreamWorker::step(bool hasMessages, bool hasPackets)
{
    const TimePoint now = Clock::now();
    const bool wasPaused = now - m_latestStep > pauseLimit;
    m_latestStep = now;
    if (wasPaused) {
        discardAfterPause(now);
        hasMessages = false;
        hasPackets = false;
    }
    while (const std::optional<BalancingSettings> balancing = m_context.balancing.pop()) {
        m_decisions->onSettings(*balancing);
    }
    applyChanges(now);
    if (m_context.isStopping && !m_isStopNoticed) {
        m_isStopNoticed = true;
        m_decisions->beginStop(now, m_actions);
        m_context.isReady = false;
    }
    if (m_isStopNoticed && m_context.refusedReadinessProbes >= withdrawalProbeCount) {
        m_decisions->onWithdrawn(now);
    }
    if (hasMessages) {
        receiveMessages(now);
    }
    if (hasPackets) {
        receivePackets(now);
    }
    if (const std::optional<bool> isReachable = m_targetProbe.takeResult()) {
        m_decisions->onTargetProbed(now, *isReachable, m_actions);
    }
    if (now >= m_tickDeadline || now >= m_decisions->nextDeadline()) {
        m_tickDeadline = now + tickInterval;
        m_decisions->onTick(now, m_actions);
    }
    executeActions(now);
    updateFreshness(now);
    m_context.isReady = m_decisions->isReady();
}

void StreamWorker::applyChanges(TimePoint now)
{
    bool hasChanged = false;
    while (const auto batch = m_context.changes.pop()) {
        hasChanged = true;
        const DirectoryPosition earlier = m_freshness.position();
        const bool isNewer = (*batch)->position > earlier;
        if (!earlier.isNull() && (*batch)->position.era > earlier.era) {
            m_context.log.record(
                EventNumber::DirectoryEraChanged,
                QStringLiteral("from revision %1 to revision %2, read from %3")
                    .arg(earlier.toString(), (*batch)->position.toString(), (*batch)->isFromSource ? QStringLiteral("the source") : QStringLiteral("a peer")));
        }
        m_freshness.onPosition(now, (*batch)->position, (*batch)->isFromSource);
        checkDirectoryAge(now);
        const bool isSummarised = (*batch)->changes.size() > maximumSingleRecords;
        for (const DirectoryChange &change : (*batch)->changes) {
            m_decisions->onDirectoryChange(now, change, m_actions);
            if (!isSummarised || !std::holds_alternative<TargetListed>(change)) {
                record((*batch)->position, change);
            }
        }
        if (isSummarised) {
            recordTargetSummary(**batch);
        }
        if (isNewer) {
            m_decisions->onNewPosition(now, m_actions);
        }
    }
    if (hasChanged) {
        m_context.metrics.gauge(QStringLiteral("directory.era")).set(static_cast<qint64>(m_freshness.position().era));
        m_context.metrics.gauge(QStringLiteral("directory.revision")).set(static_cast<qint64>(m_freshness.position().revision));
        m_freshness.setIsolated(m_decisions->isIsolated());
    }
    if (m_context.isReader != m_decisions->isReader()) {
        m_context.isReader = m_decisions->isReader();
        m_context.log.record(m_context.isReader ? EventNumber::ReaderElected : EventNumber::ReaderDismissed);
        m_context.directoryWakeup.notify();
    }
}

void StreamWorker::updateFreshness(TimePoint now)
{
    while (const std::optional<Verification> verification = m_context.verifications.pop()) {
        if (verification->position) {
            m_freshness.onVerified(now, verification->sentAt, *verification->position);
        } else {
            m_freshness.onVerificationFailed(now);
        }
    }
    checkDirectoryAge(now);
    m_freshness.setReader(m_context.isReader && m_context.isSourceAvailable);
    if (m_freshness.takeDueVerification(now)) {
        m_context.isVerificationRequested = true;
        m_context.verificationWakeup.notify();
    }
    if (m_freshness.takeDueFetch(now)) {
        requestChanges();
    }
    if (m_freshness.takeDueQuery(now)) {
        m_decisions->onStaleDirectory(now, m_actions);
        executeActions(now);
    }
}

void StreamWorker::checkDirectoryAge(TimePoint now)
{
    const bool isCurrent = !m_freshness.position().isNull() && m_freshness.age(now) < outdatedAge;
    if (isCurrent == m_isDirectoryCurrent) {
        return;
    }
    m_isDirectoryCurrent = isCurrent;
    m_decisions->onDirectoryChange(now, SourceSwitched{isCurrent, {}}, m_actions);
    m_context.log.record(isCurrent ? EventNumber::DirectoryCurrent : EventNumber::DirectoryOutdated,
                         QStringLiteral("revision %1").arg(m_freshness.position().toString()));
}

void StreamWorker::requestChanges()
{
    const Endpoint updateSource = m_freshness.updateSource();
    if (!updateSource.isNull()) {
        // All processes serve their directory on the same port.
        m_context.updateSources.push({updateSource.address, m_context.settings.spread.port});
        m_context.directoryWakeup.notify();
    }
    if (m_freshness.needsFullRead()) {
        m_context.log.record(EventNumber::WatchDeaf, QStringLiteral("the directory is at revision %1").arg(m_freshness.position().toString()));
        requestFullRead();
    } else if (!m_context.isSourceAvailable) {
        // The pull must not wait for a call that the source leaves without an answer.
        m_context.source.interrupt();
    }
}

void StreamWorker::requestFullRead()
{
    m_context.isFullReadRequested = true;
    m_context.directoryWakeup.notify();
    m_context.source.interrupt();
}

void StreamWorker::record(const DirectoryPosition &position, const DirectoryChange &change)
{
    const QString at = QStringLiteral(", revision %1").arg(position.toString());
    if (const auto *published = std::get_if<RoutesPublished>(&change)) {
        const RouteTable &routes = *published->routes;
        QString text = QStringLiteral("version %1, %2 routes").arg(routes.version()).arg(routes.routeCount());
        for (const StreamService &service : routes.services()) {
            text += QStringLiteral(", %1 cold %2/s").arg(service.name).arg(service.coldRequestsPerSecond);
        }
        m_context.log.record(EventNumber::ConfigurationAccepted, text + at);
    } else if (const auto *listed = std::get_if<TargetListed>(&change)) {
        const StreamTarget &target = listed->target;
        const QString state = target.isDraining ? QStringLiteral("draining") : QStringLiteral("ready");
        m_context.log.record(EventNumber::TargetListed,
                             QStringLiteral("%1 at %2 in %3, %4").arg(target.name, target.address.toString(), target.dataCentre, state) + at);
    } else if (const auto *unlisted = std::get_if<TargetUnlisted>(&change)) {
        m_context.log.record(EventNumber::TargetUnlisted, unlisted->name + at);
    } else if (const auto *switched = std::get_if<DataCentreSwitched>(&change)) {
        m_context.log.record(switched->isOut ? EventNumber::DataCentreOut : EventNumber::DataCentreIn, switched->name + at);
    }
}

void StreamWorker::recordTargetSummary(const DirectoryBatch &batch)
{
    int ready = 0;
    QStringList draining;
    for (const DirectoryChange &change : batch.changes) {
        const auto *listed = std::get_if<TargetListed>(&change);
        if (listed == nullptr) {
            continue;
        }
        if (listed->target.isDraining) {
            draining.append(listed->target.name);
        } else {
            ++ready;
        }
    }
    m_context.log.record(EventNumber::TargetsRead,
                         QStringLiteral("%1 ready, %2 draining %3, revision %4")
                             .arg(ready)
                             .arg(draining.size())
                             .arg(draining.join(QLatin1Char(',')))
                             .arg(batch.position.toString()));
}

void StreamWorker::receiveMessages(TimePoint now)
{
    for (const ReceivedDatagram &datagram : m_messages.receive()) {
        m_receivedMessages.add();
        const std::optional<StreamMessage> message = decodeStreamMessage(datagram.bytes);
        if (!message) {
            m_malformedMessages.add();
            continue;
        }
        m_context.log.merge(message->lamport);
        m_peerFormats.onMessage(now, *message);
        m_freshness.onPeerPosition(now, message->sender, message->directoryPosition, VerificationAge::fromWire(message->verification));
        m_decisions->onMessage(now, *message, m_actions);
    }
    executeActions(now);
}

void StreamWorker::receivePackets(TimePoint now)
{
    for (const ReceivedDatagram &datagram : m_packets.receive()) {
        m_receivedPackets.add();
        m_decisions->onPacket(now, QByteArray::fromRawData(datagram.bytes.data(), datagram.bytes.size()), m_actions);
    }
    // The packets are valid only until the next receive(), so the actions that refer to them are executed now.
    executeActions(now);
}

void StreamWorker::discardAfterPause(TimePoint now)
{
    // Datagrams queued during the pause are outdated: callers have retransmitted them, and targets may have drained.
    m_context.log.record(EventNumber::PauseNoticed, QStringLiteral("queued packets are discarded, the directory is read again"));
    for (UdpSocket *socket : {&m_messages, &m_packets}) {
        for (int batch = 0; batch < maximumDiscardedBatches; ++batch) {
            const std::size_t count = socket->receive().size();
            if (count == 0) {
                break;
            }
            m_discarded.add(count);
        }
    }
    m_decisions->onPause(now);
    requestFullRead();
}

void StreamWorker::queueMessage(TimePoint now, const SendStreamMessage &action)
{
    // An agent that was started in the middle of a flow has no balancer of the flow yet.
    if (action.to.isNull()) {
        return;
    }
    StreamMessage message = action.message;
    message.directoryPosition = m_freshness.position();
    message.readsEras = true;
    message.lamport = m_context.log.tick();
    message.verification = m_freshness.reportedVerification(now).toWire();
    const bool namesEra = message.directoryPosition.era > 0 && m_peerFormats.readsEras(now, action.to);
    m_outgoingMessages.push_back({action.to, encodeStreamMessage(message, namesEra)});
}

void StreamWorker::executeActions(TimePoint now)
{
    for (const StreamAction &action : m_actions) {
        if (const auto *message = std::get_if<SendStreamMessage>(&action)) {
            queueMessage(now, *message);
        } else if (const auto *toTarget = std::get_if<SendToStreamTarget>(&action)) {
            m_outgoingPackets.push_back({m_context.settings.target, toTarget->packet});
        } else if (const auto *toCaller = std::get_if<SendToStreamCaller>(&action)) {
            m_outgoingPackets.push_back({{toCaller->caller.address, m_context.settings.callers.port}, toCaller->packet});
        } else if (const auto *event = std::get_if<RecordStreamEvent>(&action)) {
            m_context.metrics.counter(QStringLiteral("events.") + eventName(event->number)).add();
            m_context.log.record(event->number, event->detail, event->flowText());
        } else if (std::holds_alternative<ProbeStreamTarget>(action)) {
            m_targetProbe.begin(m_context.settings.target);
        } else if (const auto *time = std::get_if<RecordStreamTime>(&action)) {
            m_timers.at(static_cast<std::size_t>(time->timer))->add(std::chrono::duration<double, std::micro>(time->time).count());
        }
    }
    m_actions.clear();
    flush(m_packets, m_outgoingPackets);
    flush(m_messages, m_outgoingMessages);
}

void StreamWorker::flush(UdpSocket &socket, std::vector<OutgoingDatagram> &datagrams)
{
    if (datagrams.empty()) {
        return;
    }
    const std::size_t sent = socket.send(datagrams);
    if (sent < datagrams.size()) {
        m_sendFailures.add(datagrams.size() - sent);
    }
    datagrams.clear();
}

Duration StreamWorker::timeToNextDeadline(TimePoint now) const
{
    const TimePoint next = std::min({m_tickDeadline, m_decisions->nextDeadline(), m_freshness.nextDeadline()});
    return std::max(Duration::zero(), next - now);
}

}
