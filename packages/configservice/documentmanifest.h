#pragma once

#include <QByteArray>
#include <QList>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// The greatest number of bytes that a value of the platform holds.
constexpr qsizetype maximumValueBytes = 1'000'000;

/// The greatest document that is assembled; bounds the memory that a faulty manifest can claim.
constexpr qsizetype maximumDocumentBytes = 64'000'000;

/// One part of a document that is larger than a value.
struct DocumentPart
{
    /// Name of the value that holds the part.
    QString name;
    qsizetype bytes = 0;
    /// hashBytes() of the part.
    quint64 digest = 0;

    bool operator==(const DocumentPart &) const = default;
};

/// What the value `document` holds instead of a document larger than a value; JSON.
struct DocumentManifest
{
    /// The number of the document.
    quint64 version = 0;
    /// hashBytes() of the whole text.
    quint64 digest = 0;
    /// In the order of the text.
    QList<DocumentPart> parts;

    bool operator==(const DocumentManifest &) const = default;

    /// Whether the value is meant as a manifest: it starts with "{", which no document does.
    static bool isManifest(const QByteArray &value);

    /// Parses a manifest; nothing if a field is missing, malformed or out of bounds.
    static std::optional<DocumentManifest> fromJson(const QByteArray &value);

    /// The value to be stored.
    QByteArray toJson() const;
};

}
