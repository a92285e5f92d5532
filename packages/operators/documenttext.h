#pragma once

#include <QByteArray>
#include <QList>
#include <QString>

namespace Rattanpick
{

/// One section of a document as text: the comment lines directly above its heading, the heading and all that follows.
struct DocumentSection
{
    /// Title of the section, such as "target a"; empty for the text before the first section.
    QString title;
    /// The exact bytes, line ends included.
    QByteArray text;

    bool operator==(const DocumentSection &) const = default;
};

/// A document split into its sections; joining them gives the same bytes again.
class DocumentText
{
public:
    /// Takes sections in the order of the document.
    explicit DocumentText(QList<DocumentSection> sections);

    /// Splits a document; works on invalid documents too.
    static DocumentText fromText(const QByteArray &text);

    /// The digest that a ConfigurationVersion carries: of the text with line ends normalised, comments included.
    static quint64 digest(const QByteArray &text);

    /// The sections in the order of the document.
    const QList<DocumentSection> &sections() const
    {
        return m_sections;
    }

    /// The first section of the title, or null.
    const DocumentSection *find(const QString &title) const;

    /// The document as one text.
    QByteArray toText() const;

    bool operator==(const DocumentText &) const = default;

private:
    QList<DocumentSection> m_sections;
};

}
