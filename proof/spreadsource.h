#pragma once

#include "proof/configurationsource.h"
#include "spread/spreadnode.h"

namespace Rattanpick::Proof
{

/// The production SpreadNode.
class SpreadSource : public ConfigurationSource
{
public:
    SpreadSource(const SpreadNodeSettings &settings, TimePoint now);

    void onPlatformDocument(TimePoint now, quint64 revision, const QByteArray &text, SpreadActions &actions) override;
    void onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions) override;
    void onPlatformFailure(TimePoint now, SpreadActions &actions) override;
    void onPeerVersion(TimePoint now,
                       const Endpoint &tunnel,
                       const ConfigurationVersion &version,
                       const std::optional<VersionNotice> &notice,
                       SpreadActions &actions) override;
    void onPulledDocument(TimePoint now, const Endpoint &admin, const std::optional<QByteArray> &answer, SpreadActions &actions) override;
    QByteArray documentDelta(const ConfigurationVersion &from) const override;
    ConfigurationPointer configuration() const override;
    bool isReady(TimePoint now) const override;
    void onTick(TimePoint now, SpreadActions &actions) override;

private:
    SpreadNode m_node;
};

}
