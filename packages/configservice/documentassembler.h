#pragma once

#include "configservice/documentmanifest.h"

#include <QByteArray>
#include <QString>
#include <QStringList>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// Assembles a document from the value `document` and, if that is a manifest, from the parts listed in it.
///
/// The document is returned only if the digests of all parts and of the assembled text match the manifest.
class DocumentAssembler
{
public:
    /// Starts a new document with the value `document` and discards the earlier state. Returns false if the value is
    /// too large or is a malformed manifest.
    bool start(const QByteArray &value);

    /// Names of the values that are still missing.
    QStringList missingParts() const;

    /// Adds the value of a part. Returns false if the manifest does not list the part, or if its size or digest differ.
    bool addPart(const QString &name, const QByteArray &value);

    /// The document, or nothing if a part is missing or the digest of the assembled text differs.
    std::optional<QByteArray> document() const;

    /// The error message of the last failed call.
    const QString &lastError() const
    {
        return m_lastError;
    }

private:
    bool reject(const QString &reason);

    std::optional<DocumentManifest> m_manifest;
    std::vector<std::optional<QByteArray>> m_parts;
    QByteArray m_text;
    mutable QString m_lastError;
};

}
