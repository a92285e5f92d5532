#include "proof/unorderedsource.h"

#include "operators/documentreader.h"

namespace Rattanpick::Proof
{

void UnorderedSource::onPlatformDocument(TimePoint, quint64 revision, const QByteArray &text, SpreadActions &actions)
{
    m_isReading = false;
    m_revision = revision;
    DocumentReader reader(QStringLiteral("document"));
    const ConfigurationPointer configuration = reader.read(text);
    if (configuration != nullptr) {
        m_configuration = configuration;
        actions.push_back(ApplyConfiguration{configuration});
    }
}

void UnorderedSource::onInstanceList(TimePoint, const InstanceList &, SpreadActions &)
{
}

void UnorderedSource::onPlatformFailure(TimePoint, SpreadActions &)
{
    m_isReading = false;
}

void UnorderedSource::onPeerVersion(TimePoint, const Endpoint &, const ConfigurationVersion &, const std::optional<VersionNotice> &, SpreadActions &)
{
}

void UnorderedSource::onPulledDocument(TimePoint, const Endpoint &, const std::optional<QByteArray> &, SpreadActions &)
{
}

QByteArray UnorderedSource::documentDelta(const ConfigurationVersion &) const
{
    return {};
}

ConfigurationPointer UnorderedSource::configuration() const
{
    return m_configuration;
}

bool UnorderedSource::isReady(TimePoint) const
{
    return m_configuration != nullptr;
}

void UnorderedSource::onTick(TimePoint, SpreadActions &actions)
{
    if (!m_isReading) {
        m_isReading = true;
        actions.push_back(ReadPlatform{m_revision});
    }
}

}
