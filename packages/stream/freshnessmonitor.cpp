#include "stream/freshnessmonitor.h"

#include <algorithm>

namespace Rattanpick
{

FreshnessMonitor::FreshnessMonitor(const FreshnessMonitorSettings &settings, TimePoint now)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_verificationDeadline(now + settings.maximumAge + settings.otherDelay)
    , m_questionDeadline(now + settings.staleAge)
{
}

// Input

void FreshnessMonitor::onRevision(TimePoint now, quint64 revision, bool isFromSource)
{
    if (revision <= m_revision) {
        return;
    }
    m_revision = revision;
    m_latestRevision = std::max(m_latestRevision, revision);
    if (m_revision == m_latestRevision) {
        m_fetchDeadline = TimePoint::max();
        // News that arrives at once shows that the way from the source is open. A peer tells its own age in messages.
        if (isFromSource) {
            verifiedAt(now);
        }
    }
}

void FreshnessMonitor::onVerified(TimePoint now, TimePoint sentAt, quint64 revision)
{
    m_isVerifying = false;
    m_verificationDeadline = now + m_settings.retryTime;
    learn(now, {}, revision, now - sentAt);
}

void FreshnessMonitor::onVerificationFailed(TimePoint now)
{
    m_isVerifying = false;
    m_verificationDeadline = now + m_settings.retryTime;
}

void FreshnessMonitor::onPeerRevision(TimePoint now, const Endpoint &sender, quint64 revision, Duration age)
{
    learn(now, sender, revision, age);
}

// Decisions

bool FreshnessMonitor::takeDueVerification(TimePoint now)
{
    if (m_isVerifying || now < m_verificationDeadline || m_revision == 0) {
        return false;
    }
    m_isVerifying = true;
    return true;
}

bool FreshnessMonitor::takeDueFetch(TimePoint now)
{
    if (now < m_fetchDeadline) {
        return false;
    }
    // If it fails, the next message of a peer or the next verification asks for another fetch.
    m_fetchDeadline = TimePoint::max();
    m_latestRevision = m_revision;
    return true;
}

bool FreshnessMonitor::takeDueQuery(TimePoint now)
{
    if (now < m_questionDeadline) {
        return false;
    }
    m_questionDeadline = now + m_settings.askInterval;
    return m_revision > 0;
}

TimePoint FreshnessMonitor::nextDeadline() const
{
    const TimePoint next = std::min(m_fetchDeadline, m_questionDeadline);
    return m_isVerifying || m_revision == 0 ? next : std::min(next, m_verificationDeadline);
}

// State

Duration FreshnessMonitor::age(TimePoint now) const
{
    return now - m_verifiedAt;
}

void FreshnessMonitor::learn(TimePoint now, const Endpoint &updateSource, quint64 revision, Duration age)
{
    if (revision > m_latestRevision) {
        m_latestRevision = revision;
        m_informant = updateSource;
        m_fetchDeadline = std::min(m_fetchDeadline, now + (m_isReader ? m_settings.patience : m_settings.gatherTime));
    }
    if (revision == m_revision && revision == m_latestRevision) {
        verifiedAt(now - age);
    }
}

Duration FreshnessMonitor::randomDuration(Duration from, Duration to)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(from.count(), to.count())(m_random));
}

void FreshnessMonitor::verifiedAt(TimePoint time)
{
    if (time <= m_verifiedAt) {
        return;
    }
    m_verifiedAt = time;
    Duration delay = randomDuration(m_settings.minimumAge, m_settings.maximumAge);
    if (!m_isReader) {
        delay += m_settings.otherDelay;
    }
    if (m_isAlone) {
        delay += randomDuration(Duration::zero(), m_settings.aloneDelay);
    }
    m_verificationDeadline = std::max(m_verificationDeadline, time + delay);
    m_questionDeadline = std::max(m_questionDeadline, time + m_settings.staleAge);
}

}
