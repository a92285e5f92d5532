#include "configservice/documentmanifest.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace Rattanpick
{

namespace
{

// JSON numbers have only 53 bits of precision, so 64-bit values are written as strings.
QString toHex(quint64 number)
{
    return QStringLiteral("%1").arg(number, 16, 16, QLatin1Char('0'));
}

std::optional<quint64> fromText(const QJsonValue &value, int base)
{
    bool isNumber = false;
    const quint64 number = value.toString().toULongLong(&isNumber, base);
    return isNumber ? std::optional(number) : std::nullopt;
}

std::optional<DocumentPart> partFromJson(const QJsonObject &object)
{
    const std::optional<quint64> digest = fromText(object.value(QLatin1String("digest")), 16);
    DocumentPart part{object.value(QLatin1String("name")).toString(), object.value(QLatin1String("bytes")).toInteger(), digest.value_or(0)};
    if (!digest || part.name.isEmpty() || part.bytes <= 0 || part.bytes > maximumValueBytes) {
        return std::nullopt;
    }
    return part;
}

}

bool DocumentManifest::isManifest(const QByteArray &value)
{
    return value.startsWith('{');
}

std::optional<DocumentManifest> DocumentManifest::fromJson(const QByteArray &value)
{
    const QJsonObject object = QJsonDocument::fromJson(value).object();
    const std::optional<quint64> version = fromText(object.value(QLatin1String("version")), 10);
    const std::optional<quint64> digest = fromText(object.value(QLatin1String("digest")), 16);
    if (!version || !digest) {
        return std::nullopt;
    }
    DocumentManifest manifest{*version, *digest, {}};
    qsizetype total = 0;
    const QJsonArray parts = object.value(QLatin1String("parts")).toArray();
    for (const auto &entry : parts) {
        const std::optional<DocumentPart> part = partFromJson(entry.toObject());
        if (!part) {
            return std::nullopt;
        }
        total += part->bytes;
        manifest.parts.append(*part);
    }
    if (manifest.parts.isEmpty() || total > maximumDocumentBytes) {
        return std::nullopt;
    }
    return manifest;
}

QByteArray DocumentManifest::toJson() const
{
    QJsonArray entries;
    for (const DocumentPart &part : parts) {
        entries.append(QJsonObject{
            {QStringLiteral("name"), part.name},
            {QStringLiteral("bytes"), static_cast<qint64>(part.bytes)},
            {QStringLiteral("digest"), toHex(part.digest)},
        });
    }
    const QJsonObject object{
        {QStringLiteral("version"), QString::number(version)},
        {QStringLiteral("digest"), toHex(digest)},
        {QStringLiteral("parts"), entries},
    };
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

}
