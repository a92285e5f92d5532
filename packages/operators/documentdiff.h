#pragma once

#include <QByteArray>
#include <QList>
#include <QString>

namespace Rattanpick
{

/// How a section or key differs between two documents.
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
    /// The key, or empty if the whole section was added or removed.
    QString key;
    /// The value in the earlier document; empty if the key was added.
    QString before;
    /// The value in the later document; empty if the key was removed.
    QString after;

    bool operator==(const DocumentChange &) const = default;

    /// Formats the change as "+ [target a]", "- [target a] weight = 5" or "~ [target a] weight = 5 -> 6".
    QString toString() const;
};

/// The sections and keys that differ between two documents. Comments, blank lines and the order are ignored.
class DocumentDiff
{
public:
    /// Compares two documents, which may be invalid.
    DocumentDiff(const QByteArray &earlier, const QByteArray &later);

    /// The changes: changed and removed sections in the order of the earlier document, then the added sections in the
    /// order of the later document.
    const QList<DocumentChange> &changes() const
    {
        return m_changes;
    }

private:
    QList<DocumentChange> m_changes;
};

}
