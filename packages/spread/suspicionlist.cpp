#include "spread/suspicionlist.h"

#include "core/assertion.h"

#include <algorithm>

namespace Rattanpick
{

SuspicionList::SuspicionList(const SuspicionListSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    RP_ASSERT(settings.capacity > 0 && settings.fanOut >= 0);
}

void SuspicionList::onSuspicion(TimePoint now, const Suspicion &suspicion, quint8 hopCount, const InstanceList &peers, std::vector<SendSuspicion> &actions)
{
    if (!insertOrRenew(now, suspicion) || hopCount >= m_settings.maximumHops || peers.isEmpty()) {
        return;
    }
    std::uniform_int_distribution<qsizetype> anyPeer(0, peers.size() - 1);
    for (int copy = 0; copy < m_settings.fanOut; ++copy) {
        const Instance &peer = peers[anyPeer(m_random)];
        actions.push_back({peer.tunnel, suspicion, static_cast<quint8>(hopCount + 1)});
    }
}

bool SuspicionList::onHeartbeat(TimePoint now, TargetId target, Incarnation incarnation)
{
    const auto found = m_entries.find(static_cast<quint32>(target));
    if (found == m_entries.end()) {
        return false;
    }
    const bool wasSuspected = found->second.isSuspected && now < found->second.deadline;
    found->second = {incarnation, false, now + m_settings.lifetime, now + m_settings.refutationLifetime};
    return wasSuspected;
}

bool SuspicionList::isSuspected(TimePoint now, TargetId target) const
{
    const auto found = m_entries.find(static_cast<quint32>(target));
    return found != m_entries.end() && found->second.isSuspected && now < found->second.deadline;
}

bool SuspicionList::insertOrRenew(TimePoint now, const Suspicion &suspicion)
{
    const auto id = static_cast<quint32>(suspicion.suspect.target);
    auto found = m_entries.find(id);
    if (found != m_entries.end() && now >= found->second.deadline) {
        m_entries.erase(found);
        found = m_entries.end();
    }
    if (found != m_entries.end()) {
        const Entry &entry = found->second;
        const bool isSameIncarnation = entry.incarnation == suspicion.suspectIncarnation;
        // A repeated suspicion is renewed and forwarded again only in the second half of its lifetime.
        if (isSameIncarnation && entry.isSuspected != suspicion.isRefuted && entry.deadline - now > m_settings.lifetime / 2) {
            return false;
        }
        // A refutation of this or a later incarnation is newer than a suspicion that is still in transit.
        if (!suspicion.isRefuted && now < entry.refutedUntil) {
            return false;
        }
    }
    if (found == m_entries.end() && m_entries.size() >= m_settings.capacity) {
        removeExpired(now);
        if (m_entries.size() >= m_settings.capacity) {
            ++m_overflows;
            return false;
        }
    }
    const TimePoint refutedUntil = suspicion.isRefuted ? now + m_settings.refutationLifetime : TimePoint{};
    m_entries[id] = {suspicion.suspectIncarnation, !suspicion.isRefuted, now + m_settings.lifetime, refutedUntil};
    return true;
}

void SuspicionList::removeExpired(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return now >= entry.second.deadline; });
}

}
