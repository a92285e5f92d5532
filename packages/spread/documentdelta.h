#pragma once

#include <QByteArray>
#include <QtGlobal>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// The digests of the sections of a document in their order; enough to compute a difference without the text.
///
/// A section reaches from a line that starts with "[" to the next one; the text before the first is a section too.
class DocumentOutline
{
public:
    /// The outline of the text.
    explicit DocumentOutline(const QByteArray &text);

    /// hashBytes() of each section.
    const std::vector<quint64> &sections() const
    {
        return m_sections;
    }

private:
    std::vector<quint64> m_sections;
};

/// The difference between two documents: changed sections as text, unchanged ones by their position in the base.
///
/// A removed section is one that no step copies. Order and comments are kept, so that the result has the same digest.
class DocumentDelta
{
public:
    /// New text, then a run of sections copied from the base; each of both may be empty.
    struct Step
    {
        QByteArray text;
        quint32 firstSection = 0;
        quint32 sectionCount = 0;

        bool operator==(const Step &) const = default;
    };

    /// The difference from a document with the outline @p base to @p text.
    static DocumentDelta between(const DocumentOutline &base, const QByteArray &text);

    /// Parses what toBytes() wrote; nothing if it is malformed.
    static std::optional<DocumentDelta> fromBytes(const QByteArray &bytes);

    /// The difference in the form sent to peers.
    QByteArray toBytes() const;

    /// The new document; nothing if a copied section lies outside the base or the digest of the result differs.
    std::optional<QByteArray> applyTo(const QByteArray &base) const;

    bool operator==(const DocumentDelta &) const = default;

private:
    std::vector<Step> m_steps;
    quint64 m_resultDigest = 0;
};

/// Compresses with zlib.
QByteArray compressBytes(const QByteArray &bytes);

/// Undoes compressBytes(); nothing if it is malformed or larger than @p maximumBytes when uncompressed.
std::optional<QByteArray> uncompressBytes(const QByteArray &bytes, qsizetype maximumBytes);

}
