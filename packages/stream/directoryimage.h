#pragma once

#include "stream/directorychange.h"

#include <QByteArray>
#include <QByteArrayView>

#include <map>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// The changes of a directory and the revision that they reach.
struct DirectoryBatch
{
    quint64 revision = 0;
    std::vector<DirectoryChange> changes;
    /// Whether the source itself told the revision just now; a peer may be behind.
    bool isFromSource = false;

    bool operator==(const DirectoryBatch &) const = default;
};

/// The latest change of each thing in the directory, for peers that are behind.
class DirectoryImage
{
public:
    /// Takes in the changes of an answer of the source or of a peer.
    void apply(const DirectoryBatch &batch);

    /// The revision that the image has reached; 0 before the first reading.
    quint64 revision() const
    {
        return m_revision;
    }

    /// What has changed after the revision; everything, with a ReadingCompleted, if removals since then are forgotten.
    DirectoryBatch since(quint64 revision) const;

private:
    struct Item
    {
        quint64 revision = 0;
        DirectoryChange change;
    };

    void put(const QString &key, quint64 revision, const DirectoryChange &change);
    void complete(const ReadingCompleted &completed);
    void forgetRemovals();

    quint64 m_revision = 0;
    /// The latest change of each target, data centre and of the routes.
    std::map<QString, Item> m_items;
    /// Removals up to this revision may be forgotten.
    quint64 m_horizon = 0;
};

/// The bytes of a batch; times are told as what remains of them at @p now.
QByteArray encodeDirectoryBatch(TimePoint now, const DirectoryBatch &batch);

/// The batch of the bytes; nothing if they are malformed, truncated or too many.
std::optional<DirectoryBatch> decodeDirectoryBatch(TimePoint now, QByteArrayView bytes);

}
