#pragma once

#include "configservice/instance.h"

#include <QByteArray>

#include <memory>
#include <optional>

namespace Rattanpick
{

/// The instance list at a revision of the platform; immutable.
struct InstanceSnapshot
{
    /// 0 if the list does not come from the platform.
    quint64 revision = 0;
    InstanceList instances;
    /// Revision and list in the form sent to peers.
    QByteArray encoded;
};

/// A snapshot shared between threads.
using InstanceSnapshotPointer = std::shared_ptr<const InstanceSnapshot>;

/// Builds snapshots; a measurement with many nodes in one process replaces it by one that shares equal snapshots.
class InstanceSnapshotFactory
{
public:
    virtual ~InstanceSnapshotFactory() = default;

    /// The snapshot of a list.
    virtual InstanceSnapshotPointer make(quint64 revision, const InstanceList &instances);

    /// The snapshot of what a peer sent; null if it is malformed.
    virtual InstanceSnapshotPointer decode(const QByteArray &encoded);
};

}
