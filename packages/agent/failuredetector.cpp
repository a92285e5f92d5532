#include "agent/failuredetector.h"

#include <algorithm>
#include <cstdlib>

namespace Rattanpick
{

FailureDetector::FailureDetector(AgentContext &context)
    : m_context(context)
{
}

void FailureDetector::recompute(TimePoint now)
{
    const TargetId self = m_context.settings().target;
    m_ring.clear();
    for (const Target *target : m_context.configuration()->targetsOf(m_context.settings().service)) {
        m_ring.push_back({target->id, target->agent});
    }

    m_receivers.clear();
    if (m_ring.size() <= fullMeshLimit) {
        std::ranges::copy_if(m_ring, std::back_inserter(m_receivers), [self](const Hop &hop) { return hop.target != self; });
    } else {
        m_receivers = successorsOf(self);
    }

    std::map<TargetId, TimePoint> watched;
    const Duration silence = m_context.settings().heartbeatInterval * m_context.settings().missedHeartbeats;
    for (const Hop &hop : m_ring) {
        if (hop.target == self) {
            continue;
        }
        const std::vector<Hop> successors = successorsOf(hop.target);
        const bool isWatched = std::ranges::any_of(successors, [self](const Hop &successor) { return successor.target == self; });
        if (!isWatched) {
            continue;
        }
        const auto before = m_silenceDeadlines.find(hop.target);
        watched.emplace(hop.target, before != m_silenceDeadlines.end() ? before->second : now + silence);
    }
    m_silenceDeadlines = std::move(watched);
}

void FailureDetector::onPeerAlive(TimePoint now, const Hop &from, Incarnation incarnation, AgentActions &actions)
{
    m_reports.erase(from.target);
    const auto watched = m_silenceDeadlines.find(from.target);
    const bool isWatcher = watched != m_silenceDeadlines.end();
    if (isWatcher) {
        watched->second = now + m_context.settings().heartbeatInterval * m_context.settings().missedHeartbeats;
    }
    if (!m_context.peers().setSuspected(from.target, false)) {
        return;
    }
    actions.emplace_back(RecordEvent{EventNumber::PeerRefuted, {}, 0, QStringLiteral("agent at %1 has sent a message").arg(from.endpoint.toString())});
    // Only watchers announce the refutation, so that not every agent that receives a message of the peer does.
    if (isWatcher) {
        refute(from, incarnation, actions);
    }
}

bool FailureDetector::onSuspicion(TimePoint now, const Suspicion &suspicion, AgentActions &actions)
{
    const Hop &suspect = suspicion.suspect;
    if (suspect.target == m_context.settings().target) {
        const bool isAboutThisProcess = suspicion.suspectIncarnation == m_context.settings().incarnation || suspicion.suspectIncarnation == Incarnation{};
        if (!suspicion.isRefuted && isAboutThisProcess && !m_isStopping) {
            refute(m_context.self(), m_context.settings().incarnation, actions);
        }
        return false;
    }
    if (suspicion.isRefuted) {
        m_reports.erase(suspect.target);
        return m_context.peers().setSuspected(suspect.target, false);
    }
    const Incarnation known = m_context.peers().incarnationOf(suspect.target);
    if (known != Incarnation{} && suspicion.suspectIncarnation != Incarnation{} && known != suspicion.suspectIncarnation) {
        return false;
    }
    if (suspicion.reporter != TargetId{}) {
        m_reports[suspect.target].insert(suspicion.reporter);
        // An agent that still receives messages of the peer ignores the report, which may come from an isolated
        // watcher.
        if (m_context.peers().wasSeenAfter(suspect.target, now - m_context.settings().heartbeatInterval * m_context.settings().missedHeartbeats)) {
            return false;
        }
        return confirmIfAgreed(suspect, suspicion.suspectIncarnation, actions);
    }
    if (m_context.peers().wasSeenAfter(suspect.target, now - m_context.settings().heartbeatInterval)) {
        return false;
    }
    const bool isChange = m_context.peers().setSuspected(suspect.target, true);
    if (isChange) {
        actions.emplace_back(RecordEvent{EventNumber::PeerSuspected, {}, 0, QStringLiteral("agent at %1, reported").arg(suspect.endpoint.toString())});
    }
    return isChange;
}

void FailureDetector::resetSilenceDeadlines(TimePoint now)
{
    for (auto &[target, deadline] : m_silenceDeadlines) {
        deadline = now + m_context.settings().heartbeatInterval * m_context.settings().missedHeartbeats;
    }
    m_reports.clear();
}

void FailureDetector::announceStop(AgentActions &actions)
{
    m_isStopping = true;
    spreadToService(Suspicion{m_context.self(), m_context.settings().incarnation, false, TargetId{}}, actions);
}

void FailureDetector::answerHeartbeat(const Hop &requester, bool isDraining, AgentActions &actions)
{
    if (!m_isStopping) {
        m_context.send(requester, Heartbeat{isDraining, m_sequence + 1}, actions);
    }
}

bool FailureDetector::onTick(TimePoint now, bool isDraining, AgentActions &actions)
{
    const int change = std::abs(static_cast<int>(m_context.loadPermille()) - m_reportedLoadPermille);
    const bool isLoadUpdateDue = change >= m_context.settings().loadUpdatePermille && now >= m_loadUpdateDeadline;
    if (now >= m_heartbeatDeadline || isLoadUpdateDue) {
        m_heartbeatDeadline = now + m_context.settings().heartbeatInterval;
        m_loadUpdateDeadline = now + m_context.settings().loadUpdateInterval;
        m_reportedLoadPermille = m_context.loadPermille();
        ++m_sequence;
        for (const Hop &receiver : m_receivers) {
            // A stopping agent sends no heartbeats, since they would refute its own announcement.
            if (!m_isStopping) {
                m_context.send(receiver, Heartbeat{isDraining, m_sequence}, actions);
            }
        }
    }

    bool isChange = false;
    for (auto &[target, deadline] : m_silenceDeadlines) {
        if (now < deadline || m_context.peers().isSuspected(target)) {
            continue;
        }
        const auto suspect = std::ranges::find(m_ring, target, &Hop::target);
        RP_ASSERT(suspect != m_ring.end());
        // The report is repeated at each interval until the suspicion is confirmed or a message arrives.
        deadline = now + m_context.settings().heartbeatInterval;
        const Incarnation incarnation = m_context.peers().incarnationOf(target);
        m_reports[target].insert(m_context.settings().target);
        for (const Hop &successor : successorsOf(target)) {
            if (successor.target != m_context.settings().target) {
                m_context.send(successor, Suspicion{*suspect, incarnation, false, m_context.settings().target}, actions);
            }
        }
        isChange = confirmIfAgreed(*suspect, incarnation, actions) || isChange;
    }
    return isChange;
}

std::vector<Hop> FailureDetector::successorsOf(TargetId target) const
{
    std::vector<Hop> successors;
    const auto place = std::ranges::find(m_ring, target, &Hop::target);
    if (place == m_ring.end()) {
        return successors;
    }
    const std::size_t start = static_cast<std::size_t>(place - m_ring.begin());
    for (std::size_t step = 1; step < m_ring.size() && successors.size() < static_cast<std::size_t>(m_context.settings().heartbeatPeers); ++step) {
        successors.push_back(m_ring[(start + step) % m_ring.size()]);
    }
    return successors;
}

bool FailureDetector::confirmIfAgreed(const Hop &suspect, Incarnation incarnation, AgentActions &actions)
{
    // In a service of two targets there is only one watcher, whose report is sufficient.
    const std::size_t watcherCount = successorsOf(suspect.target).size();
    const std::size_t needed = m_context.peers().isListedGone(suspect.target) ? 1 : std::min<std::size_t>(2, watcherCount);
    if (m_reports[suspect.target].size() < needed || !m_context.peers().setSuspected(suspect.target, true)) {
        return false;
    }
    actions.emplace_back(RecordEvent{EventNumber::PeerSuspected, {}, 0, QStringLiteral("agent at %1, heartbeats missed").arg(suspect.endpoint.toString())});
    spreadToService(Suspicion{suspect, incarnation, false, TargetId{}}, actions);
    return true;
}

void FailureDetector::spreadToService(const Suspicion &suspicion, AgentActions &actions)
{
    for (const Hop &receiver : m_receivers) {
        if (receiver.target != suspicion.suspect.target) {
            m_context.send(receiver, suspicion, actions);
        }
    }
    actions.emplace_back(SpreadSuspicion{suspicion});
}

void FailureDetector::refute(const Hop &hop, Incarnation incarnation, AgentActions &actions)
{
    spreadToService(Suspicion{hop, incarnation, true, TargetId{}}, actions);
}

}
