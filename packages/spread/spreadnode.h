#pragma once

#include "core/timepoint.h"
#include "platform/instance.h"
#include "spread/spreadaction.h"
#include "spread/spreadnodesettings.h"

#include <QByteArray>

#include <memory>
#include <optional>

namespace Rattanpick
{

/// Decides how a node learns and spreads the configuration; it has no sockets, threads or clocks.
///
/// Versions in force only rise. What is accepted depends on the documents alone.
class SpreadNode
{
public:
    /// Builds a node that has no configuration and knows no peers.
    SpreadNode(const SpreadNodeSettings &settings, TimePoint now);
    ~SpreadNode();

    SpreadNode(const SpreadNode &) = delete;
    SpreadNode &operator=(const SpreadNode &) = delete;

    // Platform

    /// The platform gave the document (whole, already assembled) at a revision of its own.
    void onPlatformDocument(TimePoint now, quint64 revision, const QByteArray &text, SpreadActions &actions);

    /// The platform gave the instance list.
    void onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions);

    /// A call to the platform failed or timed out.
    void onPlatformFailure(TimePoint now, const QString &reason, SpreadActions &actions);

    // Peers

    /// A message of any kind came from a peer with this version in force; @p notice is set for a VersionNotice.
    void onPeerVersion(TimePoint now,
                       const Endpoint &tunnel,
                       const ConfigurationVersion &version,
                       const std::optional<VersionNotice> &notice,
                       SpreadActions &actions);

    /// A peer's answer to PullDocument (see documentDelta()), or nothing if the call failed.
    void onPulledDocument(TimePoint now, const Endpoint &admin, const std::optional<QByteArray> &answer, SpreadActions &actions);

    /// The answer to a peer that asks for the difference from a version: a delta or the whole document, encoded.
    QByteArray documentDelta(const ConfigurationVersion &from) const;

    // State

    /// The configuration in force, or null.
    ConfigurationPointer configuration() const;

    /// Whether the node has compared versions with enough peers to serve.
    bool isReady(TimePoint now) const;

    /// Whether this node reads the platform.
    bool isReader() const;

    /// Passes time.
    void onTick(TimePoint now, SpreadActions &actions);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
