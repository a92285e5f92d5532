#include "operators/incidentreport.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QMap>
#include <QTimeZone>

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace Rattanpick
{

namespace
{

struct KindDescription
{
    EventNumber number;
    const char *key;
    const char *title;
};

// Indexed by IncidentKind.
constexpr std::array<KindDescription, IncidentReport::kindCount> kinds{{
    {EventNumber::FlowBroken, "flowsBroken", "Flows broken"},
    {EventNumber::FlowRefused, "flowsRefused", "Flows refused (not opened)"},
    {EventNumber::RequestNotRun, "requestsNotRun", "Requests refused (not run)"},
    {EventNumber::RequestOutcomeUnknown, "requestsOutcomeUnknown", "Requests with an unknown outcome"},
}};

std::optional<IncidentKind> kindOf(EventNumber number)
{
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        if (kinds[index].number == number) {
            return static_cast<IncidentKind>(index);
        }
    }
    return std::nullopt;
}

const KindDescription &describe(IncidentKind kind)
{
    return kinds.at(static_cast<std::size_t>(kind));
}

QString wallClockText(qint64 milliseconds)
{
    return QDateTime::fromMSecsSinceEpoch(milliseconds, QTimeZone::utc()).toString(QStringLiteral("yyyy-MM-ddTHH:mm:ss.zzz'Z'"));
}

QString caseText(const Event &event)
{
    QString text =
        QStringLiteral("    %1  %2").arg(wallClockText(event.wallMilliseconds), event.flow.isEmpty() ? QStringLiteral("(flow not recorded)") : event.flow);
    if (event.request != 0) {
        text += QStringLiteral("  request %1").arg(event.request);
    }
    return text + QStringLiteral("  at %1 (clock %2)\n").arg(event.process, QString::number(event.lamport));
}

}

IncidentReport::IncidentReport(const QList<Event> &events, const QStringList &gaps)
    : m_gaps(gaps)
{
    QMap<std::pair<IncidentKind, QString>, QList<Event>> cases;
    for (const Event &event : events) {
        const std::optional<IncidentKind> kind = kindOf(event.number);
        if (!kind.has_value()) {
            continue;
        }
        const QString cause = event.detail.isEmpty() ? QStringLiteral("no cause recorded") : event.detail;
        cases[{*kind, cause}].append(event);
        ++m_counts[static_cast<std::size_t>(*kind)];
    }
    for (auto entry = cases.begin(); entry != cases.end(); ++entry) {
        std::ranges::stable_sort(entry.value(), {}, &Event::lamport);
        m_groups.append({entry.key().first, entry.key().second, entry.value()});
    }
    std::ranges::sort(m_groups, {}, [](const IncidentGroup &group) { return std::tuple(group.kind, -group.cases.size(), group.cause); });
}

QString IncidentReport::toText() const
{
    QString text;
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        text += QStringLiteral("%1: %2\n").arg(QLatin1String(kinds.at(index).title)).arg(m_counts.at(index));
    }
    for (const IncidentGroup &group : m_groups) {
        text += QStringLiteral("\n%1, cause: %2 (%3)\n").arg(QString::fromLatin1(describe(group.kind).title), group.cause, QString::number(group.cases.size()));
        for (const Event &event : group.cases) {
            text += caseText(event);
        }
    }
    if (!m_gaps.isEmpty()) {
        text += QStringLiteral("\nThis report may be incomplete:\n");
        for (const QString &gap : m_gaps) {
            text += QStringLiteral("    %1\n").arg(gap);
        }
    }
    return text;
}

QJsonObject IncidentReport::toJson() const
{
    QJsonObject counts;
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        counts.insert(QLatin1String(kinds.at(index).key), m_counts.at(index));
    }
    QJsonArray groups;
    for (const IncidentGroup &group : m_groups) {
        QJsonArray cases;
        for (const Event &event : group.cases) {
            cases.append(QJsonDocument::fromJson(event.toJson()).object());
        }
        groups.append(QJsonObject{
            {QStringLiteral("kind"), QLatin1String(describe(group.kind).key)},
            {QStringLiteral("cause"), group.cause},
            {QStringLiteral("count"), group.cases.size()},
            {QStringLiteral("cases"), cases},
        });
    }
    return {
        {QStringLiteral("counts"), counts},
        {QStringLiteral("groups"), groups},
        {QStringLiteral("gaps"), QJsonArray::fromStringList(m_gaps)},
    };
}

}
