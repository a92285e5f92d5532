#pragma once

#include "configservice/instance.h"
#include "core/timepoint.h"
#include "spread/spreadaction.h"

#include <QByteArray>

#include <optional>

namespace Rattanpick::Proof
{

/// The source of the configuration of a process: the production SpreadNode or a baseline.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    /// Handles a document from the platform.
    virtual void onPlatformDocument(TimePoint now, quint64 revision, const QByteArray &text, SpreadActions &actions) = 0;

    /// Handles an instance list from the platform.
    virtual void onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions) = 0;

    /// Handles a failed call to the platform.
    virtual void onPlatformFailure(TimePoint now, SpreadActions &actions) = 0;

    /// Handles the version in a message from a peer, and its version notice if it was one.
    virtual void onPeerVersion(TimePoint now,
                               const Endpoint &tunnel,
                               const ConfigurationVersion &version,
                               const std::optional<VersionNotice> &notice,
                               SpreadActions &actions) = 0;

    /// Handles the answer of a peer to a pull; no value if the call failed.
    virtual void onPulledDocument(TimePoint now, const Endpoint &admin, const std::optional<QByteArray> &answer, SpreadActions &actions) = 0;

    /// The answer to a pull of a peer that has the version @p from.
    virtual QByteArray documentDelta(const ConfigurationVersion &from) const = 0;

    /// The current configuration; null if there is none.
    virtual ConfigurationPointer configuration() const = 0;

    /// Whether the process may start to serve.
    virtual bool isReady(TimePoint now) const = 0;

    /// Handles timeouts.
    virtual void onTick(TimePoint now, SpreadActions &actions) = 0;
};

}
