#include "proof/fakeplatform.h"

namespace Rattanpick::Proof
{

namespace
{

/// Time until a call to the platform fails while it is down.
constexpr Duration failureTime = 300ms;

}

FakePlatform::FakePlatform(FakeNetwork &network, PartyId party, Duration listLag)
    : m_network(network)
    , m_party(party)
    , m_listLag(listLag)
{
}

void FakePlatform::publish(const QByteArray &document)
{
    if (m_firstDocument.isEmpty()) {
        m_firstDocument = document;
    }
    m_latestDocument = document;
    if (!m_isStale) {
        serve(document);
    }
}

void FakePlatform::read(PartyId reader, quint64 afterRevision, Answer answer)
{
    ++m_reads;
    m_network.sendReliably(reader, m_party, [this, reader, afterRevision, answer = std::move(answer)](TimePoint) {
        m_pendingReads.push_back(PendingRead{reader, afterRevision, answer});
        answerPendingReads();
    });
}

void FakePlatform::setInstances(const InstanceList &instances)
{
    m_lists.emplace_back(m_network.now(), instances);
    while (m_lists.size() > 1 && m_lists[1].first + m_listLag <= m_network.now()) {
        m_lists.pop_front();
    }
}

InstanceList FakePlatform::laggingInstances() const
{
    return m_lists.empty() ? InstanceList{} : m_lists.front().second;
}

void FakePlatform::setDown(bool isDown)
{
    m_isDown = isDown;
    answerPendingReads();
}

void FakePlatform::setStale(bool isStale)
{
    m_isStale = isStale;
    if (!isStale && m_servedDocument != m_latestDocument) {
        serve(m_latestDocument);
    }
}

void FakePlatform::restoreFirstDocument()
{
    serve(m_firstDocument);
}

void FakePlatform::serve(const QByteArray &document)
{
    m_servedDocument = document;
    ++m_revision;
    answerPendingReads();
}

void FakePlatform::answerPendingReads()
{
    std::vector<PendingRead> remaining;
    for (PendingRead &pending : m_pendingReads) {
        if (m_isDown) {
            m_network.after(failureTime, [this, pending](TimePoint) {
                m_network.sendReliably(m_party, pending.reader, [answer = pending.answer](TimePoint now) { answer(now, std::nullopt); });
            });
            continue;
        }
        if (m_revision <= pending.afterRevision) {
            remaining.push_back(std::move(pending));
            continue;
        }
        m_network.sendReliably(
            m_party, pending.reader, [answer = pending.answer, result = std::pair(m_revision, m_servedDocument)](TimePoint now) { answer(now, result); });
    }
    m_pendingReads = std::move(remaining);
}

}
