#pragma once

#include "stream/directorychange.h"

#include <QByteArray>
#include <QByteArrayView>

#include <map>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// Changes of a directory and the position that they lead to.
struct DirectoryBatch
{
    DirectoryPosition position;
    std::vector<DirectoryChange> changes;
    /// Whether the batch comes from the source itself, so that its position is current; a peer may be behind.
    bool isFromSource = false;

    bool operator==(const DirectoryBatch &) const = default;
};

/// The latest change of each object in the directory, from which peers with an older position are served.
class DirectoryImage
{
public:
    /// Applies a batch that was received from the source or from a peer. One of an earlier era changes nothing.
    void apply(const DirectoryBatch &batch);

    /// The position of the image; null before the first full read.
    const DirectoryPosition &position() const
    {
        return m_position;
    }

    /// The changes after the position. If removals since that position have been evicted, everything, closed by a
    /// FullReadCompleted.
    DirectoryBatch since(const DirectoryPosition &position) const;

private:
    struct Item
    {
        DirectoryPosition position;
        DirectoryChange change;
    };

    void put(const QString &key, const DirectoryPosition &position, const DirectoryChange &change);
    void complete(const FullReadCompleted &completed);
    void evictRemovals();

    DirectoryPosition m_position;
    /// The latest change of each target, of each data centre and of the routes.
    std::map<QString, Item> m_items;
    /// Removals up to this position may have been evicted.
    DirectoryPosition m_compactedPosition;
};

/// The formats of an encoded batch, by the number that it begins with.
enum class DirectoryFormat : quint32 {
    /// Routes have no objectives, and positions no era. Processes that do not ask for another format read only this one.
    WithoutObjectives = 0x52504402,
    WithObjectives = 0x52504403,
    /// Positions have an era.
    WithEras = 0x52504404,
};

/// Encodes a batch. Points in time are sent as the time that remains of them at @p now.
QByteArray encodeDirectoryBatch(TimePoint now, const DirectoryBatch &batch, DirectoryFormat format = DirectoryFormat::WithEras);

/// Decodes a batch of any format; nothing if it is malformed, truncated or too long. Objectives and eras that it does not have are unknown.
std::optional<DirectoryBatch> decodeDirectoryBatch(TimePoint now, QByteArrayView bytes);

}
