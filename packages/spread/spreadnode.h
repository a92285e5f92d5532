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

/// State machine that obtains and distributes the configuration on one node; uses no sockets, threads or clocks.
///
/// The version in force never decreases. Whether a document is accepted depends only on the document and the version
/// in force.
class SpreadNode
{
public:
    /// Builds a node without a configuration and without known peers.
    SpreadNode(const SpreadNodeSettings &settings, TimePoint now);

    /// Builds a node that uses the mechanisms of the given strategy.
    SpreadNode(const SpreadNodeSettings &settings, const SpreadStrategy &strategy, TimePoint now);

    ~SpreadNode();

    SpreadNode(const SpreadNode &) = delete;
    SpreadNode &operator=(const SpreadNode &) = delete;

    // Platform

    /// The platform returned the whole, reassembled document with its revision at the platform.
    void onPlatformDocument(TimePoint now, quint64 revision, const QByteArray &text, SpreadActions &actions);

    /// The platform returned the instance list with its revision at the platform. Revision 0 marks a list from another
    /// source, such as the settings; the node uses it but does not send it to peers.
    void onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions, quint64 revision = 0);

    /// A call to the platform completed and reported no change.
    void onPlatformUnchanged(TimePoint now, PlatformSubject subject, SpreadActions &actions);

    /// A call to the platform failed or timed out.
    void onPlatformFailure(TimePoint now, const QString &reason, SpreadActions &actions, PlatformSubject subject = PlatformSubject::Document);

    // Peers

    /// Received any message from a peer that has this version in force; @p notice is set for a VersionNotice.
    void onPeerVersion(TimePoint now,
                       const Endpoint &tunnel,
                       const ConfigurationVersion &version,
                       const std::optional<VersionNotice> &notice,
                       SpreadActions &actions);

    /// Received a peer's answer to PullDocument (see documentDelta()); nullopt if the call failed.
    void onPulledDocument(TimePoint now, const Endpoint &admin, const std::optional<QByteArray> &answer, SpreadActions &actions);

    /// The encoded answer to a peer that requests the difference from a version: a delta or the whole document.
    /// Includes the instance list if its revision is higher than @p instanceRevision.
    QByteArray documentDelta(const ConfigurationVersion &from, quint64 instanceRevision = 0) const;

    // State

    /// The configuration in force, or null.
    ConfigurationPointer configuration() const;

    /// The instance list with the highest revision received; empty if none.
    const InstanceList &instances() const;

    /// The platform revision of instances(); 0 if the list does not come from the platform.
    quint64 instanceRevision() const;

    /// Whether the node has compared versions with enough peers to serve, including after its last pause.
    bool isReady(TimePoint now) const;

    /// Whether this node is an elected reader of the platform.
    bool isReader() const;

    /// Runs the timers. Call at least every 200 ms: a gap longer than the pause limit counts as a pause of the process.
    void onTick(TimePoint now, SpreadActions &actions);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
