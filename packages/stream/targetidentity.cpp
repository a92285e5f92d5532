#include "stream/targetidentity.h"

namespace Rattanpick
{

TargetIdentity::TargetIdentity(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now)
    : m_settings(settings)
    , m_directory(directory)
    , m_flowProofLimit(now)
{
}

// Input

void TargetIdentity::onDirectoryRead(bool isFromSource)
{
    // Peers may serve an entry that is older than that of the process before, so that the entry of the source is no news.
    const bool isFirst = !m_hasRead || (isFromSource && !m_hasReadSource);
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    if (isFirst && !m_provenAt) {
        m_entry = own != nullptr ? std::optional(own->target.incarnation) : std::nullopt;
    }
    m_hasRead = true;
    m_hasReadSource = m_hasReadSource || isFromSource;
}

void TargetIdentity::onSign(TimePoint now)
{
    if (m_provenAt) {
        m_provenAt = now;
    } else {
        m_firstSign = m_firstSign.value_or(now);
    }
}

void TargetIdentity::onHeldFlow(TimePoint now, TimePoint heldSince)
{
    onSign(now);
    if (!m_provenAt && m_flowProofLimit && heldSince <= *m_flowProofLimit) {
        m_provenAt = now;
    }
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
    const bool isNewEntry = m_hasRead && m_entry != own.target.incarnation;
    const bool isWarmAnyway = m_firstSign && now - *m_firstSign >= coldTime;
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
