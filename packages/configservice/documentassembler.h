#pragma once

#include "configservice/documentmanifest.h"

#include <QByteArray>
#include <QString>
#include <QStringList>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// Puts a document together from the value `document` and, if that is a manifest, from the parts it names.
///
/// The whole is given only if every part and the whole itself have the digests of the manifest.
class DocumentAssembler
{
public:
    /// Takes the value `document` and forgets what came before; false if it is a malformed manifest.
    bool start(const QByteArray &value);

    /// Names of the values that are still needed.
    QStringList missingParts() const;

    /// Takes the value of a part; false if the manifest does not name it or its size or digest differ.
    bool addPart(const QString &name, const QByteArray &value);

    /// The document, or nothing while a part is missing or the digest of the whole differs.
    std::optional<QByteArray> document() const;

    /// Why the latest call failed.
    const QString &lastError() const
    {
        return m_lastError;
    }

private:
    bool refuse(const QString &reason);

    std::optional<DocumentManifest> m_manifest;
    std::vector<std::optional<QByteArray>> m_parts;
    QByteArray m_text;
    mutable QString m_lastError;
};

}
