#include "configservice/documentsplitter.h"

#include "core/assertion.h"
#include "core/identifiers.h"

namespace Rattanpick
{

SplitDocument splitDocument(const QByteArray &text, quint64 version, qsizetype maximumBytes)
{
    RP_ASSERT(maximumBytes > 0 && maximumBytes <= maximumValueBytes);
    if (text.size() <= maximumBytes) {
        return {text, {}};
    }
    SplitDocument result;
    DocumentManifest manifest{version, hashBytes(text), {}};
    for (qsizetype start = 0; start < text.size(); start += maximumBytes) {
        const QByteArray part = text.mid(start, maximumBytes);
        const quint64 digest = hashBytes(part);
        // The name includes the digest, so that the parts of the previous manifest are not overwritten before the new
        // manifest is stored.
        const QString name = QStringLiteral("document.%1.%2").arg(manifest.parts.size()).arg(digest, 16, 16, QLatin1Char('0'));
        manifest.parts.append({name, part.size(), digest});
        result.parts.emplace(name, part);
    }
    result.value = manifest.toJson();
    return result;
}

}
