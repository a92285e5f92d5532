#include "core/flowkey.h"

#include "core/identifiers.h"

namespace Rattanpick
{

quint64 FlowKey::hash() const
{
    const quint64 callerWord = (quint64{caller.address} << 24) | (quint64{caller.port} << 8) | protocol;
    const quint64 serviceWord = (quint64{service.address} << 16) | service.port;
    return hashPair(callerWord, serviceWord);
}

QString FlowKey::toString() const
{
    const QString name = protocol == 17 ? QStringLiteral("udp") : protocol == 6 ? QStringLiteral("tcp") : QString::number(protocol);
    return QStringLiteral("%1 %2 -> %3").arg(name, caller.toString(), service.toString());
}

}
