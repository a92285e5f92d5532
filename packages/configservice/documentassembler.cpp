#include "configservice/documentassembler.h"

#include "core/identifiers.h"

namespace Rattanpick
{

bool DocumentAssembler::start(const QByteArray &value)
{
    m_manifest.reset();
    m_parts.clear();
    m_text.clear();
    if (value.size() > maximumValueBytes) {
        return reject(QStringLiteral("the value document has %1 bytes, more than %2").arg(value.size()).arg(maximumValueBytes));
    }
    if (!DocumentManifest::isManifest(value)) {
        m_text = value;
        return true;
    }
    m_manifest = DocumentManifest::fromJson(value);
    if (!m_manifest) {
        return reject(QStringLiteral("malformed manifest"));
    }
    m_parts.resize(static_cast<std::size_t>(m_manifest->parts.size()));
    return true;
}

QStringList DocumentAssembler::missingParts() const
{
    QStringList names;
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        if (!m_parts[index]) {
            names.append(m_manifest->parts[static_cast<qsizetype>(index)].name);
        }
    }
    return names;
}

bool DocumentAssembler::addPart(const QString &name, const QByteArray &value)
{
    bool isListed = false;
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        const DocumentPart &part = m_manifest->parts[static_cast<qsizetype>(index)];
        if (part.name != name) {
            continue;
        }
        if (part.bytes != value.size() || part.digest != hashBytes(value)) {
            return reject(QStringLiteral("part %1 differs from the manifest in size or digest").arg(name));
        }
        m_parts[index] = value;
        isListed = true;
    }
    return isListed || reject(QStringLiteral("part %1 is not in the manifest").arg(name));
}

std::optional<QByteArray> DocumentAssembler::document() const
{
    if (!m_manifest) {
        return m_text.isEmpty() ? std::nullopt : std::optional(m_text);
    }
    QByteArray text;
    for (const std::optional<QByteArray> &part : m_parts) {
        if (!part) {
            m_lastError = QStringLiteral("missing parts: %1").arg(missingParts().join(QLatin1String(", ")));
            return std::nullopt;
        }
        text += *part;
    }
    if (hashBytes(text) != m_manifest->digest) {
        m_lastError = QStringLiteral("the document assembled from all parts differs from the digest of the manifest");
        return std::nullopt;
    }
    return text;
}

bool DocumentAssembler::reject(const QString &reason)
{
    m_lastError = reason;
    return false;
}

}
