#include "rattanpickd/messages/processstatus.h"

#include <QString>

#include <array>

namespace Rattanpick
{

namespace
{

QString stateOf(const QJsonObject &decisions)
{
    const QString version = decisions.value(QLatin1String("version")).toString();
    if (version.isEmpty() || version.startsWith(QLatin1String("0/"))) {
        return QStringLiteral("joining");
    }
    // Most severe state first: a process may be in several states at once.
    for (const char *state : {"fenced", "stopping", "holding", "recovering", "draining"}) {
        if (decisions.value(QLatin1String(state)).toBool()) {
            return QLatin1String(state);
        }
    }
    return QStringLiteral("serving");
}

}

QJsonObject processStatus(const QJsonObject &decisions, const QJsonObject &metrics)
{
    const QString droppedPrefix = QStringLiteral("dropped.");
    QJsonObject refusals;
    const QJsonObject counters = metrics.value(QLatin1String("counters")).toObject();
    for (const QString &name : counters.keys()) {
        if (!name.startsWith(droppedPrefix) || counters.value(name).toInteger() == 0) {
            continue;
        }
        refusals.insert(name.mid(droppedPrefix.size()), counters.value(name));
    }
    return {{QStringLiteral("version"), decisions.value(QLatin1String("version"))},
            {QStringLiteral("state"), stateOf(decisions)},
            {QStringLiteral("flows"), decisions.value(QLatin1String("ownedFlows")).toInteger()},
            {QStringLiteral("refusals"), refusals},
            {QStringLiteral("metrics"), metrics}};
}

}
