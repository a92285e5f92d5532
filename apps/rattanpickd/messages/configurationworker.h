#pragma once

#include "rattanpickd/messages/callworker.h"
#include "rattanpickd/messages/daemoncontext.h"
#include "rattanpickd/messages/platformclienthandle.h"

#include "configservice/platformclient.h"
#include "spread/spreadnode.h"

#include <QJsonObject>

#include <memory>
#include <mutex>
#include <vector>

namespace Rattanpick
{

/// Reads the configuration from the platform and from peers and passes it to the decision worker.
class ConfigurationWorker
{
public:
    /// Starts the threads for blocking calls; a non-empty @p startDocument counts as the first answer of the platform.
    ConfigurationWorker(DaemonContext &context, const QByteArray &startDocument);
    ~ConfigurationWorker();

    ConfigurationWorker(const ConfigurationWorker &) = delete;
    ConfigurationWorker &operator=(const ConfigurationWorker &) = delete;

    /// Works until the context ends.
    void run();

    /// The difference from a version, for a peer; nothing while there is no configuration. Thread-safe.
    std::optional<QByteArray> documentDelta(const ConfigurationVersion &from) const;

    /// State for operators. Thread-safe.
    QJsonObject status() const;

private:
    struct PlatformJob
    {
        quint64 afterRevision = 0;
    };
    struct PullJob
    {
        Endpoint admin;
        ConfigurationVersion from;
    };
    struct PullResult
    {
        Endpoint admin;
        std::optional<QByteArray> answer;
    };
    template <typename Answer>
    struct PlatformResult
    {
        std::optional<Answer> answer;
        QString error;
    };
    using DocumentWorker = CallWorker<PlatformJob, PlatformResult<PlatformValue>>;
    using InstancesWorker = CallWorker<PlatformJob, PlatformResult<PlatformInstances>>;
    using PullWorker = CallWorker<PullJob, PullResult>;

    void step(TimePoint now);
    void processPlatformAnswers(TimePoint now);
    void processPullResults(TimePoint now);
    void execute(TimePoint now);
    void pullFromSeeds(TimePoint now);
    void pull(const Endpoint &admin, const ConfigurationVersion &from);
    void readPlatform(TimePoint now, const ReadPlatform &action);
    void sendNotice(const SendVersionNotice &action);
    void publishUpdate(TimePoint now);

    DaemonContext &m_context;
    mutable std::mutex m_mutex;
    SpreadNode m_node;
    SpreadActions m_actions;
    bool m_hasBeenReady = false;
    ConfigurationVersion m_publishedVersion;
    quint64 m_publishedRevision = 0;
    TimePoint m_seedDeadline;
    PlatformClientHandle m_documentClient;
    PlatformClientHandle m_instancesClient;
    std::unique_ptr<DocumentWorker> m_documentWorker;
    std::unique_ptr<InstancesWorker> m_instancesWorker;
    std::vector<std::unique_ptr<PullWorker>> m_pullWorkers;
};

}
