#pragma once

#include <QByteArray>
#include <QList>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// The maximum size of a platform value in bytes.
constexpr qsizetype maximumValueBytes = 1'000'000;

/// The maximum size of an assembled document in bytes. Limits the memory that a faulty manifest can make a process use.
constexpr qsizetype maximumDocumentBytes = 64'000'000;

/// One part of a document that does not fit into a single value.
struct DocumentPart
{
    /// Name of the value that stores the part.
    QString name;
    qsizetype bytes = 0;
    /// hashBytes() of the part.
    quint64 digest = 0;

    bool operator==(const DocumentPart &) const = default;
};

/// The JSON manifest that the value `document` holds in place of a document that does not fit into a single value.
struct DocumentManifest
{
    /// The number of the document.
    quint64 version = 0;
    /// hashBytes() of the complete text.
    quint64 digest = 0;
    /// The parts in the order of the text.
    QList<DocumentPart> parts;

    bool operator==(const DocumentManifest &) const = default;

    /// Whether the value is a manifest rather than a document: it starts with "{", which no document does.
    static bool isManifest(const QByteArray &value);

    /// Parses a manifest. Returns nothing if a field is missing, malformed or out of range.
    static std::optional<DocumentManifest> fromJson(const QByteArray &value);

    /// Serialises the manifest to the value to be stored.
    QByteArray toJson() const;
};

}
