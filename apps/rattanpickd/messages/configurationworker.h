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

/// Learns the configuration from the platform and from peers and hands it to the decisions.
class ConfigurationWorker
{
public:
    /// Builds the duty; a document given here is taken as the platform's first answer.
    ConfigurationWorker(DaemonContext &context, const QByteArray &startDocument);
    ~ConfigurationWorker();

    ConfigurationWorker(const ConfigurationWorker &) = delete;
    ConfigurationWorker &operator=(const ConfigurationWorker &) = delete;

    /// Works until the context ends.
    void run();

    /// The answer to a peer that asks for the difference from a version; any thread may ask.
    std::optional<QByteArray> documentDelta(const ConfigurationVersion &from) const;

    /// State for operators; any thread may ask.
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
    using DocumentWorker = CallWorker<PlatformJob, PlatformResult<PlatformValueAnswer>>;
    using InstancesWorker = CallWorker<PlatformJob, PlatformResult<PlatformInstancesAnswer>>;
    using PullWorker = CallWorker<PullJob, PullResult>;

    void step(TimePoint now);
    void takePlatformAnswers(TimePoint now);
    void takePulls(TimePoint now);
    void carryOut(TimePoint now);
    void askSeeds(TimePoint now);
    void pull(const Endpoint &admin, const ConfigurationVersion &from);
    void readPlatform(TimePoint now, const ReadPlatform &action);
    void sendNotice(const SendVersionNotice &action);
    void handOver(TimePoint now);

    DaemonContext &m_context;
    mutable std::mutex m_mutex;
    SpreadNode m_node;
    SpreadActions m_actions;
    bool m_hasServed = false;
    ConfigurationVersion m_handedVersion;
    quint64 m_handedRevision = 0;
    TimePoint m_seedDeadline;
    PlatformClientHandle m_documentClient;
    PlatformClientHandle m_instancesClient;
    std::unique_ptr<DocumentWorker> m_documentWorker;
    std::unique_ptr<InstancesWorker> m_instancesWorker;
    std::vector<std::unique_ptr<PullWorker>> m_pullWorkers;
};

}
