#include "stream/targetidentity.h"

namespace Rattanpick
{

TargetIdentity::TargetIdentity(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now)
    : m_settings(settings)
    , m_directory(directory)
    , m_flowProofLimit(now)
{
    // When the whole system starts for the first time, no entry can be that of an earlier process.
    if (settings.directory.routeHistory.isInitialStart) {
        m_provenAt = now;
        m_latestSign = now;
    }
}

// Input

void TargetIdentity::onDirectoryRead(bool isFromSource)
{
    // Peers may serve an older entry than the source has, so that the first one of the source does not show a new process.
    const bool isFirst = !m_hasRead || (isFromSource && !m_hasReadSource);
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    if (isFirst && (!m_provenAt || !m_hasRead)) {
        m_entry = own != nullptr ? std::optional(own->target.incarnation) : std::nullopt;
    }
    m_hasRead = true;
    m_hasReadSource = m_hasReadSource || isFromSource;
}

void TargetIdentity::onSign(TimePoint now)
{
    const bool isAfterGap = now - m_latestSign > m_settings.restartTime;
    if (m_provenAt && isAfterGap) {
        endProof(m_provenAt);
    }
    if (m_provenAt) {
        m_provenAt = now;
    } else if (!m_firstSign || isAfterGap) {
        m_firstSign = now;
    }
    m_latestSign = now;
}

void TargetIdentity::onHeldFlow(TimePoint now, TimePoint heldSince)
{
    onSign(now);
    if (!m_provenAt && m_flowProofLimit && heldSince <= *m_flowProofLimit) {
        m_provenAt = now;
    }
}

void TargetIdentity::onLostFlow(TimePoint now)
{
    if (m_provenAt) {
        endProof(m_provenAt);
    }
    onSign(now);
}

void TargetIdentity::onEnded()
{
    endProof(std::nullopt);
}

void TargetIdentity::onStarted(TimePoint now)
{
    endProof(std::nullopt);
    onSign(now);
}

// Decision

bool TargetIdentity::isProven(TimePoint now, const TargetDirectory::Entry &own, Duration coldTime)
{
    if (m_provenAt && now - *m_provenAt > m_settings.restartTime) {
        endProof(m_provenAt);
    }
    const bool isNewEntry = m_hasRead && m_entry != own.target.incarnation;
    const bool isWarmAnyway = m_firstSign && now - *m_firstSign >= coldTime && now - m_latestSign <= m_settings.restartTime;
    if (isNewEntry || isWarmAnyway) {
        m_entry = own.target.incarnation;
        m_provenAt = m_provenAt.value_or(now);
    }
    return m_provenAt.has_value();
}

void TargetIdentity::endProof(std::optional<TimePoint> provenUntil)
{
    m_provenAt.reset();
    m_flowProofLimit = provenUntil;
    m_firstSign.reset();
}

}
