#include "stream/freshnessmonitor.h"

#include <algorithm>

namespace Rattanpick
{

FreshnessMonitor::FreshnessMonitor(const FreshnessMonitorSettings &settings, TimePoint now)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_verificationDeadline(now + settings.maximumVerificationAge + settings.nonReaderDelay)
    , m_queryDeadline(now + settings.staleAge)
{
}

// Input

void FreshnessMonitor::onPosition(TimePoint now, const DirectoryPosition &position, bool isFromSource)
{
    if (position <= m_position) {
        return;
    }
    m_position = position;
    m_latestPosition = std::max(m_latestPosition, position);
    if (m_position == m_latestPosition) {
        m_fetchDeadline = TimePoint::max();
        // An update straight from the source proves that the connection to it works. A peer reports its own age in
        // messages.
        if (isFromSource) {
            markVerified(now, 0);
        }
    }
}

void FreshnessMonitor::onVerified(TimePoint now, TimePoint sentAt, const DirectoryPosition &position)
{
    m_isVerifying = false;
    m_verificationDeadline = now + m_settings.retryTime;
    recordPosition(now, {}, position, {now - sentAt, 0});
}

void FreshnessMonitor::onVerificationFailed(TimePoint now)
{
    m_isVerifying = false;
    m_verificationDeadline = now + m_settings.retryTime;
}

void FreshnessMonitor::onPeerPosition(TimePoint now, const Endpoint &sender, const DirectoryPosition &position, const VerificationAge &verification)
{
    recordPosition(now, sender, position, {verification.age, static_cast<quint8>(verification.hopCount + 1)});
}

// Decisions

bool FreshnessMonitor::takeDueVerification(TimePoint now)
{
    if (m_isVerifying || now < m_verificationDeadline || m_position.isNull()) {
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
    // If the fetch fails, the next message of a peer or the next verification triggers another one.
    m_fetchDeadline = TimePoint::max();
    m_latestPosition = m_position;
    return true;
}

bool FreshnessMonitor::takeDueQuery(TimePoint now)
{
    if (now < m_queryDeadline) {
        return false;
    }
    m_queryDeadline = now + m_settings.queryInterval;
    return !m_position.isNull();
}

TimePoint FreshnessMonitor::nextDeadline() const
{
    const TimePoint next = std::min(m_fetchDeadline, m_queryDeadline);
    return m_isVerifying || m_position.isNull() ? next : std::min(next, m_verificationDeadline);
}

// State

Duration FreshnessMonitor::age(TimePoint now) const
{
    return now - *std::ranges::max_element(m_verifiedAt);
}

VerificationAge FreshnessMonitor::reportedVerification(TimePoint now) const
{
    const auto latest = std::max_element(m_verifiedAt.begin(), m_verifiedAt.end() - 1);
    return {now - *latest, static_cast<quint8>(latest - m_verifiedAt.begin())};
}

void FreshnessMonitor::recordPosition(TimePoint now, const Endpoint &updateSource, const DirectoryPosition &position, const VerificationAge &verification)
{
    if (position > m_latestPosition) {
        m_latestPosition = position;
        m_updateSource = updateSource;
        m_fetchDeadline = std::min(m_fetchDeadline, now + (m_isReader ? m_settings.watchDelayLimit : m_settings.batchInterval));
    }
    const bool isPassedOnTooOften = verification.hopCount > VerificationAge::maximumHopCount;
    if (position == m_position && position == m_latestPosition && !isPassedOnTooOften) {
        markVerified(now - verification.age, verification.hopCount);
    }
}

Duration FreshnessMonitor::randomDuration(Duration from, Duration to)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(from.count(), to.count())(m_random));
}

void FreshnessMonitor::markVerified(TimePoint time, std::size_t hopCount)
{
    const bool isLatest = time > *std::ranges::max_element(m_verifiedAt);
    m_verifiedAt.at(hopCount) = std::max(m_verifiedAt.at(hopCount), time);
    if (!isLatest) {
        return;
    }
    Duration delay = randomDuration(m_settings.minimumVerificationAge, m_settings.maximumVerificationAge);
    if (!m_isReader) {
        delay += m_settings.nonReaderDelay;
    }
    if (m_isIsolated) {
        delay += randomDuration(Duration::zero(), m_settings.isolatedDelay);
    }
    m_verificationDeadline = std::max(m_verificationDeadline, time + delay);
    m_queryDeadline = std::max(m_queryDeadline, time + m_settings.staleAge);
}

}
