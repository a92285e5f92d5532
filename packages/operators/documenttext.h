#pragma once

#include <QByteArray>
#include <QList>
#include <QString>

namespace Rattanpick
{

/// The text of one section of a document: the comment lines directly above its heading, the heading and all lines up
/// to the next section.
struct DocumentSection
{
    /// Title of the section, such as "target a"; empty for the text before the first section.
    QString title;
    /// The exact bytes, including line endings.
    QByteArray text;

    bool operator==(const DocumentSection &) const = default;
};

/// A document split into its sections. Concatenating the sections restores the same bytes.
class DocumentText
{
public:
    /// Creates a document from its sections, in order.
    explicit DocumentText(QList<DocumentSection> sections);

    /// Splits a document, which may be invalid.
    static DocumentText fromText(const QByteArray &text);

    /// The digest used in ConfigurationVersion, computed over the text with normalised line endings and comments.
    static quint64 digest(const QByteArray &text);

    /// The sections in the order of the document.
    const QList<DocumentSection> &sections() const
    {
        return m_sections;
    }

    /// The first section with the title, or null.
    const DocumentSection *find(const QString &title) const;

    /// The text of the whole document.
    QByteArray toText() const;

    bool operator==(const DocumentText &) const = default;

private:
    QList<DocumentSection> m_sections;
};

}
