#pragma once

#include "configservice/instance.h"

#include <QByteArray>

#include <memory>
#include <optional>

namespace Rattanpick
{

/// The instance list at a platform revision; immutable.
struct InstanceSnapshot
{
    /// 0 if the list does not come from the platform.
    quint64 revision = 0;
    InstanceList instances;
    /// Revision and list in the wire format.
    QByteArray encoded;
};

/// A snapshot that threads can share.
using InstanceSnapshotPointer = std::shared_ptr<const InstanceSnapshot>;

/// Creates snapshots. Measurements with many nodes in one process replace it by a factory that shares equal snapshots.
class InstanceSnapshotFactory
{
public:
    virtual ~InstanceSnapshotFactory() = default;

    /// Creates a snapshot of the list.
    virtual InstanceSnapshotPointer make(quint64 revision, const InstanceList &instances);

    /// Decodes a snapshot received from a peer; null if it is malformed.
    virtual InstanceSnapshotPointer decode(const QByteArray &encoded);
};

}
