#pragma once

#include <QByteArray>
#include <QtGlobal>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// The digests of a document's sections in order; sufficient to compute a delta without the text.
///
/// A section extends from a line that starts with "[" to the next such line; text before the first is a section too.
class DocumentOutline
{
public:
    /// Computes the outline of the text.
    explicit DocumentOutline(const QByteArray &text);

    /// hashBytes() of each section.
    const std::vector<quint64> &sections() const
    {
        return m_sections;
    }

private:
    std::vector<quint64> m_sections;
};

/// The difference between two documents: changed sections as text, unchanged ones by their index in the base.
///
/// A removed section is one that no step copies. Order and comments are preserved, so that the digest of the result
/// matches that of the new document.
class DocumentDelta
{
public:
    /// New text, followed by a run of sections copied from the base; either may be empty.
    struct Step
    {
        QByteArray text;
        quint32 firstSection = 0;
        quint32 sectionCount = 0;

        bool operator==(const Step &) const = default;
    };

    /// Computes the delta from a document with the outline @p base to @p text.
    static DocumentDelta between(const DocumentOutline &base, const QByteArray &text);

    /// Parses the output of toBytes(); nullopt if it is malformed.
    static std::optional<DocumentDelta> fromBytes(const QByteArray &bytes);

    /// Serialises the delta in the wire format.
    QByteArray toBytes() const;

    /// Applies the delta to @p base. Returns nullopt if a copied section lies outside the base or if the digest of the
    /// result differs.
    std::optional<QByteArray> applyTo(const QByteArray &base) const;

    bool operator==(const DocumentDelta &) const = default;

private:
    std::vector<Step> m_steps;
    quint64 m_resultDigest = 0;
};

/// Compresses the bytes with zlib.
QByteArray compressBytes(const QByteArray &bytes);

/// Reverses compressBytes(); nullopt if the input is malformed or expands to more than @p maximumBytes.
std::optional<QByteArray> uncompressBytes(const QByteArray &bytes, qsizetype maximumBytes);

}
