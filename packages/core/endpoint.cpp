#include "core/endpoint.h"

#include <QStringList>

namespace Rattanpick
{

QString Endpoint::toString() const
{
    return QStringLiteral("%1.%2.%3.%4:%5").arg(address >> 24).arg((address >> 16) & 0xff).arg((address >> 8) & 0xff).arg(address & 0xff).arg(port);
}

std::optional<Endpoint> Endpoint::fromString(const QString &text)
{
    const qsizetype colon = text.indexOf(QLatin1Char(':'));
    if (colon < 0) {
        return std::nullopt;
    }
    const QStringList octets = text.left(colon).split(QLatin1Char('.'));
    if (octets.size() != 4) {
        return std::nullopt;
    }
    quint32 address = 0;
    for (const QString &octet : octets) {
        bool isNumber = false;
        const uint value = octet.toUInt(&isNumber);
        if (!isNumber || value > 255 || octet.size() > 3) {
            return std::nullopt;
        }
        address = (address << 8) | value;
    }
    bool isNumber = false;
    const uint port = text.mid(colon + 1).toUInt(&isNumber);
    if (!isNumber || port == 0 || port > 65535) {
        return std::nullopt;
    }
    return Endpoint{address, static_cast<quint16>(port)};
}

}
