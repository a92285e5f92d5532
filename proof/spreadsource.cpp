#include "proof/spreadsource.h"

namespace Rattanpick::Proof
{

SpreadSource::SpreadSource(const SpreadNodeSettings &settings, TimePoint now)
    : m_node(settings, now)
{
}

void SpreadSource::onPlatformDocument(TimePoint now, quint64 revision, const QByteArray &text, SpreadActions &actions)
{
    m_node.onPlatformDocument(now, revision, text, actions);
}

void SpreadSource::onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions)
{
    m_node.onInstanceList(now, instances, actions);
}

void SpreadSource::onPlatformFailure(TimePoint now, SpreadActions &actions)
{
    m_node.onPlatformFailure(now, QStringLiteral("no answer"), actions);
}

void SpreadSource::onPeerVersion(TimePoint now,
                                 const Endpoint &tunnel,
                                 const ConfigurationVersion &version,
                                 const std::optional<VersionNotice> &notice,
                                 SpreadActions &actions)
{
    m_node.onPeerVersion(now, tunnel, version, notice, actions);
}

void SpreadSource::onPulledDocument(TimePoint now, const Endpoint &admin, const std::optional<QByteArray> &answer, SpreadActions &actions)
{
    m_node.onPulledDocument(now, admin, answer, actions);
}

QByteArray SpreadSource::documentDelta(const ConfigurationVersion &from) const
{
    return m_node.documentDelta(from);
}

ConfigurationPointer SpreadSource::configuration() const
{
    return m_node.configuration();
}

bool SpreadSource::isReady(TimePoint now) const
{
    return m_node.isReady(now);
}

void SpreadSource::onTick(TimePoint now, SpreadActions &actions)
{
    m_node.onTick(now, actions);
}

}
