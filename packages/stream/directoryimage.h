#pragma once

#include "stream/directorychange.h"

#include <QByteArray>
#include <QByteArrayView>

#include <map>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// Changes of a directory and the revision that they lead to.
struct DirectoryBatch
{
    quint64 revision = 0;
    std::vector<DirectoryChange> changes;
    /// Whether the batch comes from the source itself, so that its revision is current; a peer may be behind.
    bool isFromSource = false;

    bool operator==(const DirectoryBatch &) const = default;
};

/// The latest change of each object in the directory, from which peers with an older revision are served.
class DirectoryImage
{
public:
    /// Applies a batch that was received from the source or from a peer.
    void apply(const DirectoryBatch &batch);

    /// The revision of the image; 0 before the first full read.
    quint64 revision() const
    {
        return m_revision;
    }

    /// The changes after the revision. If removals since that revision have been evicted, everything, closed by a
    /// FullReadCompleted.
    DirectoryBatch since(quint64 revision) const;

private:
    struct Item
    {
        quint64 revision = 0;
        DirectoryChange change;
    };

    void put(const QString &key, quint64 revision, const DirectoryChange &change);
    void complete(const FullReadCompleted &completed);
    void evictRemovals();

    quint64 m_revision = 0;
    /// The latest change of each target, of each data centre and of the routes.
    std::map<QString, Item> m_items;
    /// Removals up to this revision may have been evicted.
    quint64 m_compactedRevision = 0;
};

/// The formats of an encoded batch, by the number that it begins with.
enum class DirectoryFormat : quint32 {
    /// Routes have no objectives. Processes that do not ask for another format read only this one.
    WithoutObjectives = 0x52504402,
    WithObjectives = 0x52504403,
};

/// Encodes a batch. Points in time are sent as the time that remains of them at @p now.
QByteArray encodeDirectoryBatch(TimePoint now, const DirectoryBatch &batch, DirectoryFormat format = DirectoryFormat::WithObjectives);

/// Decodes a batch of any format; nothing if it is malformed, truncated or too long. Objectives that it does not have are unknown.
std::optional<DirectoryBatch> decodeDirectoryBatch(TimePoint now, QByteArrayView bytes);

}
