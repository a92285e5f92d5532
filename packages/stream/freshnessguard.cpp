#include "stream/freshnessguard.h"

#include <algorithm>

namespace Rattanpick
{

FreshnessGuard::FreshnessGuard(const FreshnessGuardSettings &settings, TimePoint now)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_verificationDeadline(now + settings.maximumAge)
{
}

// Input

void FreshnessGuard::onRevision(TimePoint now, quint64 revision)
{
    if (revision <= m_revision) {
        return;
    }
    m_revision = revision;
    m_latestRevision = std::max(m_latestRevision, revision);
    if (m_revision == m_latestRevision) {
        m_readingDeadline = TimePoint::max();
        // A change that arrives at once shows that the watch is heard.
        verifiedAt(now);
    }
}

void FreshnessGuard::onVerified(TimePoint now, TimePoint sentAt, quint64 revision)
{
    m_isVerifying = false;
    m_verificationDeadline = now + m_settings.retryTime;
    onPeer(now, revision, now - sentAt);
}

void FreshnessGuard::onVerificationFailed(TimePoint now)
{
    m_isVerifying = false;
    m_verificationDeadline = now + m_settings.retryTime;
}

void FreshnessGuard::onPeer(TimePoint now, quint64 revision, Duration age)
{
    if (revision > m_latestRevision) {
        m_latestRevision = revision;
        m_readingDeadline = std::min(m_readingDeadline, now + m_settings.patience);
    }
    if (revision == m_revision && revision == m_latestRevision) {
        verifiedAt(now - age);
    }
}

// Decisions

bool FreshnessGuard::takeVerification(TimePoint now)
{
    if (m_isVerifying || now < m_verificationDeadline || m_revision == 0) {
        return false;
    }
    m_isVerifying = true;
    return true;
}

bool FreshnessGuard::takeReading(TimePoint now)
{
    if (now < m_readingDeadline) {
        return false;
    }
    // If the reading fails, the next message of a peer or the next verification asks for another one.
    m_readingDeadline = TimePoint::max();
    m_latestRevision = m_revision;
    return true;
}

TimePoint FreshnessGuard::nextDeadline() const
{
    return m_isVerifying || m_revision == 0 ? m_readingDeadline : std::min(m_readingDeadline, m_verificationDeadline);
}

// State

Duration FreshnessGuard::age(TimePoint now) const
{
    return now - m_verifiedAt;
}

void FreshnessGuard::verifiedAt(TimePoint time)
{
    if (time <= m_verifiedAt) {
        return;
    }
    m_verifiedAt = time;
    std::uniform_int_distribution<Duration::rep> spread(m_settings.minimumAge.count(), m_settings.maximumAge.count());
    m_verificationDeadline = std::max(m_verificationDeadline, time + Duration(spread(m_random)));
}

}
