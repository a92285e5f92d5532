#include "proof/fakeplatform.h"

namespace Rattanpick::Proof
{

namespace
{

/// Time after which a call to a platform that is down fails.
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
        show(document);
    }
}

void FakePlatform::read(PartyId reader, quint64 afterRevision, Answer answer)
{
    ++m_reads;
    m_network.sendReliably(reader, m_party, [this, reader, afterRevision, answer = std::move(answer)](TimePoint) {
        m_waiting.push_back(Waiting{reader, afterRevision, answer});
        answerWaiting();
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
    answerWaiting();
}

void FakePlatform::setStale(bool isStale)
{
    m_isStale = isStale;
    if (!isStale && m_shownDocument != m_latestDocument) {
        show(m_latestDocument);
    }
}

void FakePlatform::restoreFirstDocument()
{
    show(m_firstDocument);
}

void FakePlatform::show(const QByteArray &document)
{
    m_shownDocument = document;
    ++m_revision;
    answerWaiting();
}

void FakePlatform::answerWaiting()
{
    std::vector<Waiting> remaining;
    for (Waiting &waiting : m_waiting) {
        if (m_isDown) {
            m_network.after(failureTime, [this, waiting](TimePoint) {
                m_network.sendReliably(m_party, waiting.reader, [answer = waiting.answer](TimePoint now) { answer(now, std::nullopt); });
            });
            continue;
        }
        if (m_revision <= waiting.afterRevision) {
            remaining.push_back(std::move(waiting));
            continue;
        }
        m_network.sendReliably(
            m_party, waiting.reader, [answer = waiting.answer, result = std::pair(m_revision, m_shownDocument)](TimePoint now) { answer(now, result); });
    }
    m_waiting = std::move(remaining);
}

}
