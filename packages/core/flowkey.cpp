#include "core/flowkey.h"

#include "core/identifiers.h"

#include <QStringList>

namespace Rattanpick
{

quint64 FlowKey::hash() const
{
    const quint64 callerBits = (quint64{caller.address} << 24) | (quint64{caller.port} << 8) | protocol;
    const quint64 serviceBits = (quint64{service.address} << 16) | service.port;
    return hashPair(callerBits, serviceBits);
}

QString FlowKey::toString() const
{
    const QString name = protocol == 17 ? QStringLiteral("udp") : protocol == 6 ? QStringLiteral("tcp") : QString::number(protocol);
    return QStringLiteral("%1 %2 -> %3").arg(name, caller.toString(), service.toString());
}

std::optional<FlowKey> FlowKey::fromString(const QString &text)
{
    const QStringList words = text.simplified().split(QLatin1Char(' '));
    if (words.size() != 4 || words.at(2) != QLatin1String("->") || (words.at(0) != QLatin1String("udp") && words.at(0) != QLatin1String("tcp"))) {
        return std::nullopt;
    }
    const std::optional<Endpoint> caller = Endpoint::fromString(words.at(1));
    const std::optional<Endpoint> service = Endpoint::fromString(words.at(3));
    if (!caller.has_value() || !service.has_value()) {
        return std::nullopt;
    }
    return FlowKey{*caller, *service, static_cast<quint8>(words.at(0) == QLatin1String("udp") ? 17 : 6)};
}

}
