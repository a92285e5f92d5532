#pragma once

#include "configservice/instance.h"
#include "core/timepoint.h"
#include "spread/spreadaction.h"
#include "spread/spreadnodesettings.h"
#include "spread/spreadstrategy.h"

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

    /// Builds a node whose mechanisms are those of the strategy.
    SpreadNode(const SpreadNodeSettings &settings, const SpreadStrategy &strategy, TimePoint now);

    ~SpreadNode();

    SpreadNode(const SpreadNode &) = delete;
    SpreadNode &operator=(const SpreadNode &) = delete;

    // Platform

    /// The platform gave the document (whole, already assembled) at a revision of its own.
    void onPlatformDocument(TimePoint now, quint64 revision, const QByteArray &text, SpreadActions &actions);

    /// The platform gave the instance list at a revision of its own. With revision 0 the list is one that does not
    /// come from the platform, such as one of the settings; it is used but not spread.
    void onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions, quint64 revision = 0);

    /// A call to the platform ended without a change.
    void onPlatformUnchanged(TimePoint now, PlatformSubject subject, SpreadActions &actions);

    /// A call to the platform failed or timed out.
    void onPlatformFailure(TimePoint now, const QString &reason, SpreadActions &actions, PlatformSubject subject = PlatformSubject::Document);

    // Peers

    /// A message of any kind came from a peer with this version in force; @p notice is set for a VersionNotice.
    void onPeerVersion(TimePoint now,
                       const Endpoint &tunnel,
                       const ConfigurationVersion &version,
                       const std::optional<VersionNotice> &notice,
                       SpreadActions &actions);

    /// A peer's answer to PullDocument (see documentDelta()), or nothing if the call failed.
    void onPulledDocument(TimePoint now, const Endpoint &admin, const std::optional<QByteArray> &answer, SpreadActions &actions);

    /// The answer to a peer that asks for the difference from a version: a delta or the whole document, encoded. The
    /// instance list is added if it is later than @p instanceRevision.
    QByteArray documentDelta(const ConfigurationVersion &from, quint64 instanceRevision = 0) const;

    // State

    /// The configuration in force, or null.
    ConfigurationPointer configuration() const;

    /// The latest instance list known; empty if none.
    const InstanceList &instances() const;

    /// The revision of instances() at the platform; 0 if it does not come from there.
    quint64 instanceRevision() const;

    /// Whether the node has compared versions with enough peers to serve, and also after its last pause.
    bool isReady(TimePoint now) const;

    /// Whether this node reads the platform.
    bool isReader() const;

    /// Passes time; to be called at least every 200 ms, since a gap over the pause limit counts as a pause.
    void onTick(TimePoint now, SpreadActions &actions);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
