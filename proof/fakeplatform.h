#pragma once

#include "configservice/instance.h"
#include "core/timepoint.h"
#include "proof/fakenetwork.h"

#include <QByteArray>

#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace Rattanpick::Proof
{

/// A simulated platform: the configuration service and the instance list, which lags. Can be down or stale.
class FakePlatform
{
public:
    /// Receives the result of a read: a revision and a document, or nothing if the call failed.
    using Answer = std::function<void(TimePoint now, const std::optional<std::pair<quint64, QByteArray>> &result)>;

    /// Creates a platform that is up and has no document.
    FakePlatform(FakeNetwork &network, PartyId party, Duration listLag);

    /// Stores a document of the operators; a stale platform keeps serving the one before.
    void publish(const QByteArray &document);

    /// Reads the document for a party; answers as soon as there is a revision after @p afterRevision.
    void read(PartyId reader, quint64 afterRevision, Answer answer);

    /// Sets the instances that are running now.
    void setInstances(const InstanceList &instances);

    /// The instance list as it was one lag ago.
    InstanceList laggingInstances() const;

    // Faults

    /// Sets whether calls fail, including those that are waiting.
    void setDown(bool isDown);

    /// Sets whether the platform withholds new documents.
    void setStale(bool isStale);

    /// Serves the first document again with a new revision, as a service that was restored from a backup does.
    void restoreFirstDocument();

    /// Whether calls fail.
    bool isDown() const
    {
        return m_isDown;
    }

    /// Number of reads since the start.
    quint64 readCount() const
    {
        return m_reads;
    }

private:
    struct PendingRead
    {
        PartyId reader = 0;
        quint64 afterRevision = 0;
        Answer answer;
    };

    void serve(const QByteArray &document);
    void answerPendingReads();

    FakeNetwork &m_network;
    PartyId m_party;
    Duration m_listLag;
    QByteArray m_firstDocument;
    QByteArray m_servedDocument;
    QByteArray m_latestDocument;
    quint64 m_revision = 0;
    quint64 m_reads = 0;
    bool m_isDown = false;
    bool m_isStale = false;
    std::vector<PendingRead> m_pendingReads;
    std::deque<std::pair<TimePoint, InstanceList>> m_lists;
};

}
