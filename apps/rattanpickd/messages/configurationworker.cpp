#include "rattanpickd/messages/configurationworker.h"

#include "operators/adminclient.h"

#include <algorithm>
#include <utility>

namespace Rattanpick
{

namespace
{

constexpr Duration stepInterval = 50ms;
/// One worker for a pull and one for its hedge, which starts while the first peer does not answer.
constexpr int pullWorkerCount = 2;
/// Interval at which the seed peers are asked while there is no configuration.
constexpr Duration seedInterval = 2s;

SpreadNodeSettings nodeSettings(const DaemonContext &context)
{
    SpreadNodeSettings settings;
    settings.name = context.settings.name;
    settings.dataCentre = context.settings.dataCentre;
    settings.admin = context.settings.admin;
    settings.tunnel = context.settings.tunnel;
    settings.seed = static_cast<quint64>(context.incarnation);
    return settings;
}

PlatformClientSettings clientSettings(const DaemonSettings &daemonSettings)
{
    PlatformClientSettings settings;
    settings.endpoints = daemonSettings.platform;
    settings.caller = daemonSettings.name;
    return settings;
}

}

ConfigurationWorker::ConfigurationWorker(DaemonContext &context, const QByteArray &startDocument)
    : m_context(context)
    , m_node(nodeSettings(context), Clock::now())
{
    const PlatformClientSettings settings = clientSettings(context.settings);
    m_documentWorker = std::make_unique<DocumentWorker>(
        [this, settings]() -> DocumentWorker::Call {
            return [client = m_documentClient.make(settings)](const PlatformJob &job) {
                auto answer = client->document(job.afterRevision);
                return PlatformResult<PlatformValue>{std::move(answer), client->lastError()};
            };
        },
        context.configurationWakeup);
    m_instancesWorker = std::make_unique<InstancesWorker>(
        [this, settings]() -> InstancesWorker::Call {
            return [client = m_instancesClient.make(settings)](const PlatformJob &job) {
                auto answer = client->instances(job.afterRevision);
                return PlatformResult<PlatformInstances>{std::move(answer), client->lastError()};
            };
        },
        context.configurationWakeup);
    for (int count = 0; count < pullWorkerCount; ++count) {
        m_pullWorkers.push_back(std::make_unique<PullWorker>(
            []() -> PullWorker::Call {
                return [](const PullJob &job) {
                    return PullResult{job.admin, AdminClient({.server = job.admin}).documentDelta(job.from)};
                };
            },
            context.configurationWakeup));
    }
    if (!startDocument.isEmpty()) {
        m_node.onPlatformDocument(Clock::now(), 0, startDocument, m_actions);
        execute(Clock::now());
    }
}

ConfigurationWorker::~ConfigurationWorker()
{
    m_documentClient.cancel();
    m_instancesClient.cancel();
}

void ConfigurationWorker::run()
{
    while (!m_context.isTerminating) {
        m_context.configurationWakeup.arm();
        step(Clock::now());
        m_context.configurationWakeup.wait(stepInterval);
    }
    m_documentClient.cancel();
    m_instancesClient.cancel();
}

std::optional<QByteArray> ConfigurationWorker::documentDelta(const ConfigurationVersion &from) const
{
    const std::scoped_lock lock(m_mutex);
    if (m_node.configuration() == nullptr) {
        return std::nullopt;
    }
    return m_node.documentDelta(from);
}

QJsonObject ConfigurationWorker::status() const
{
    const std::scoped_lock lock(m_mutex);
    const ConfigurationPointer configuration = m_node.configuration();
    return {{QStringLiteral("version"), configuration != nullptr ? configuration->version().toString() : QString()},
            {QStringLiteral("ready"), m_node.isReady(Clock::now())},
            {QStringLiteral("reader"), m_node.isReader()},
            {QStringLiteral("instances"), m_node.instances().size()}};
}

void ConfigurationWorker::step(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    while (std::optional<PeerVersion> peerVersion = m_context.versions.pop()) {
        m_node.onPeerVersion(now, peerVersion->tunnel, peerVersion->version, peerVersion->notice, m_actions);
    }
    processPlatformAnswers(now);
    processPullResults(now);
    m_node.onTick(now, m_actions);
    pullFromSeeds(now);
    execute(now);
    publishUpdate(now);
}

void ConfigurationWorker::processPlatformAnswers(TimePoint now)
{
    while (auto result = m_documentWorker->takeResult()) {
        if (!result->answer) {
            m_node.onPlatformFailure(now, result->error, m_actions, PlatformSubject::Document);
        } else if (!result->answer->isChanged) {
            m_node.onPlatformUnchanged(now, PlatformSubject::Document, m_actions);
        } else {
            m_node.onPlatformDocument(now, result->answer->revision, result->answer->value, m_actions);
        }
    }
    while (auto result = m_instancesWorker->takeResult()) {
        if (!result->answer) {
            m_node.onPlatformFailure(now, result->error, m_actions, PlatformSubject::Instances);
        } else if (!result->answer->isChanged) {
            m_node.onPlatformUnchanged(now, PlatformSubject::Instances, m_actions);
        } else {
            m_node.onInstanceList(now, result->answer->instances, m_actions, result->answer->revision);
        }
    }
}

void ConfigurationWorker::processPullResults(TimePoint now)
{
    for (const auto &worker : m_pullWorkers) {
        while (std::optional<PullResult> result = worker->takeResult()) {
            m_node.onPulledDocument(now, result->admin, result->answer, m_actions);
        }
    }
}

void ConfigurationWorker::execute(TimePoint now)
{
    SpreadActions actions;
    std::swap(actions, m_actions);
    for (const SpreadAction &action : actions) {
        if (const auto *notice = std::get_if<SendVersionNotice>(&action)) {
            sendNotice(*notice);
        } else if (const auto *pulled = std::get_if<PullDocument>(&action)) {
            pull(pulled->admin, pulled->from);
        } else if (const auto *read = std::get_if<ReadPlatform>(&action)) {
            readPlatform(now, *read);
        } else if (const auto *event = std::get_if<RecordSpreadEvent>(&action)) {
            m_context.log.record(event->number, event->detail);
        }
        // ApplyConfiguration needs no action here: publishUpdate() follows in step() and also waits until the node is
        // ready.
    }
}

void ConfigurationWorker::pullFromSeeds(TimePoint now)
{
    if (m_node.configuration() != nullptr || now < m_seedDeadline) {
        return;
    }
    m_seedDeadline = now + seedInterval;
    for (const Endpoint &seed : m_context.settings.seedPeers) {
        pull(seed, {});
    }
}

void ConfigurationWorker::pull(const Endpoint &admin, const ConfigurationVersion &from)
{
    auto &worker = *std::ranges::min_element(m_pullWorkers, {}, [](const auto &candidate) { return candidate->pending(); });
    if (!worker->start({admin, from})) {
        m_node.onPulledDocument(Clock::now(), admin, std::nullopt, m_actions);
    }
}

void ConfigurationWorker::readPlatform(TimePoint now, const ReadPlatform &action)
{
    const bool isStarted =
        action.subject == PlatformSubject::Document ? m_documentWorker->start({action.afterRevision}) : m_instancesWorker->start({action.afterRevision});
    if (!isStarted) {
        m_node.onPlatformFailure(now, QStringLiteral("too many pending calls"), m_actions, action.subject);
    }
}

void ConfigurationWorker::sendNotice(const SendVersionNotice &action)
{
    PeerMessage message{{}, action.notice};
    const ConfigurationPointer configuration = m_node.configuration();
    message.header.version = configuration != nullptr ? configuration->version() : ConfigurationVersion{};
    message.header.senderEndpoint = m_context.settings.tunnel;
    message.header.senderIncarnation = m_context.incarnation;
    m_context.pushOrCount(m_context.notices, m_context.sendWakeup, Outgoing{action.to, std::move(message)});
}

void ConfigurationWorker::publishUpdate(TimePoint now)
{
    m_hasBeenReady = m_hasBeenReady || m_node.isReady(now);
    if (!m_hasBeenReady) {
        return;
    }
    ConfigurationUpdate update;
    const ConfigurationPointer configuration = m_node.configuration();
    if (configuration->version() != m_publishedVersion) {
        update.configuration = configuration;
    }
    if (m_node.instanceRevision() != m_publishedRevision) {
        update.instances = std::make_shared<const InstanceList>(m_node.instances());
    }
    if (update.configuration == nullptr && update.instances == nullptr) {
        return;
    }
    // If the ring is full, the next step tries again.
    if (m_context.pushOrCount(m_context.updates, m_context.decisionWakeup, update)) {
        m_publishedVersion = configuration->version();
        m_publishedRevision = m_node.instanceRevision();
    }
}

}
