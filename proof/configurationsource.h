#pragma once

#include "configservice/instance.h"
#include "core/timepoint.h"
#include "spread/spreadaction.h"

#include <QByteArray>

#include <optional>

namespace Rattanpick::Proof
{

/// How a process learns the configuration: the design's SpreadNode or a baseline.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    /// The platform gave a document.
    virtual void onPlatformDocument(TimePoint now, quint64 revision, const QByteArray &text, SpreadActions &actions) = 0;

    /// The platform gave the instance list.
    virtual void onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions) = 0;

    /// A call to the platform failed.
    virtual void onPlatformFailure(TimePoint now, SpreadActions &actions) = 0;

    /// A message came from a peer.
    virtual void onPeerVersion(TimePoint now,
                               const Endpoint &tunnel,
                               const ConfigurationVersion &version,
                               const std::optional<VersionNotice> &notice,
                               SpreadActions &actions) = 0;

    /// A peer answered a pull, or the call failed.
    virtual void onPulledDocument(TimePoint now, const Endpoint &admin, const std::optional<QByteArray> &answer, SpreadActions &actions) = 0;

    /// The answer to a peer's pull.
    virtual QByteArray documentDelta(const ConfigurationVersion &from) const = 0;

    /// The configuration held, or null.
    virtual ConfigurationPointer configuration() const = 0;

    /// Whether the process may serve.
    virtual bool isReady(TimePoint now) const = 0;

    /// Passes time.
    virtual void onTick(TimePoint now, SpreadActions &actions) = 0;
};

}
