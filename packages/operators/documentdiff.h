#pragma once

#include <QByteArray>
#include <QList>
#include <QString>

namespace Rattanpick
{

/// What happened to a section or key between two documents.
enum class ChangeKind : quint8 {
    Added,
    Changed,
    Removed,
};

/// One section or key that differs between two documents.
struct DocumentChange
{
    ChangeKind kind = ChangeKind::Changed;
    /// Title of the section, such as "target a".
    QString section;
    /// The key, empty if the section as a whole was added or removed.
    QString key;
    /// The value in the earlier document, empty if added.
    QString before;
    /// The value in the later document, empty if removed.
    QString after;

    bool operator==(const DocumentChange &) const = default;

    /// "+ [target a]", "- [target a] weight = 5" or "~ [target a] weight = 5 -> 6".
    QString toString() const;
};

/// The sections and keys that differ between two documents; comments, blank lines and order do not count.
class DocumentDiff
{
public:
    /// Compares two documents, valid or not.
    DocumentDiff(const QByteArray &earlier, const QByteArray &later);

    /// The changes: removed and changed ones in the order of the earlier document, then added sections of the later one.
    const QList<DocumentChange> &changes() const
    {
        return m_changes;
    }

private:
    QList<DocumentChange> m_changes;
};

}
