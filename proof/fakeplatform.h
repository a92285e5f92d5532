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

/// The configuration service and the instance list, which lags; may be down or stale.
class FakePlatform
{
public:
    /// What a read gives: a revision and a document, or nothing if the call failed.
    using Answer = std::function<void(TimePoint now, const std::optional<std::pair<quint64, QByteArray>> &result)>;

    /// Builds a platform that is up and has no document.
    FakePlatform(FakeNetwork &network, PartyId party, Duration listLag);

    /// Operators store a document; a stale platform goes on giving the one before.
    void publish(const QByteArray &document);

    /// A party reads; the answer comes when there is a revision after the given one.
    void read(PartyId reader, quint64 afterRevision, Answer answer);

    /// Takes note of the instances that live now.
    void setInstances(const InstanceList &instances);

    /// The instances as they were a lag ago.
    InstanceList laggingInstances() const;

    // Faults

    /// Calls fail while the platform is down; waiting calls fail at once.
    void setDown(bool isDown);

    /// New documents are not shown while the platform is stale.
    void setStale(bool isStale);

    /// Shows the first document again under a new revision, as a service restored from a backup does.
    void restoreFirstDocument();

    /// Whether calls fail.
    bool isDown() const
    {
        return m_isDown;
    }

    /// The reads since the start.
    quint64 readCount() const
    {
        return m_reads;
    }

private:
    struct Waiting
    {
        PartyId reader = 0;
        quint64 afterRevision = 0;
        Answer answer;
    };

    void show(const QByteArray &document);
    void answerWaiting();

    FakeNetwork &m_network;
    PartyId m_party;
    Duration m_listLag;
    QByteArray m_firstDocument;
    QByteArray m_shownDocument;
    QByteArray m_latestDocument;
    quint64 m_revision = 0;
    quint64 m_reads = 0;
    bool m_isDown = false;
    bool m_isStale = false;
    std::vector<Waiting> m_waiting;
    std::deque<std::pair<TimePoint, InstanceList>> m_lists;
};

}
