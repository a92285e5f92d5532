#pragma once

#include "core/event.h"

#include <QJsonObject>
#include <QList>
#include <QString>

#include <array>
#include <cstddef>

namespace Rattanpick
{

/// The kind of an incident, by its effect on the caller.
enum class IncidentKind : quint8 {
    FlowBroken,
    FlowRefused,
    RequestNotRun,
    RequestOutcomeUnknown,
};

/// The incidents of one kind and cause, ordered by Lamport clock.
struct IncidentGroup
{
    IncidentKind kind = IncidentKind::FlowBroken;
    /// The detail of the events, or "no cause recorded" if it is empty.
    QString cause;
    QList<Event> cases;

    bool operator==(const IncidentGroup &) const = default;
};

/// Report of broken flows, refused flows and requests, and requests with an unknown outcome, with their causes.
///
/// Users publish this report, so it lists every case and states how complete the events are.
class IncidentReport
{
public:
    /// The number of incident kinds.
    static constexpr std::size_t kindCount = 4;

    /// Groups the incidents among the events; other events are ignored. @p gaps lists why events may be missing.
    IncidentReport(const QList<Event> &events, const QStringList &gaps);

    /// The groups, ordered by kind, then by descending count, then by cause.
    const QList<IncidentGroup> &groups() const
    {
        return m_groups;
    }

    /// The number of incidents of a kind.
    qsizetype count(IncidentKind kind) const
    {
        return m_counts[static_cast<std::size_t>(kind)];
    }

    /// Whether there are no incidents.
    bool isEmpty() const
    {
        return m_groups.isEmpty();
    }

    /// The report as text of at most 120 columns, except for long causes and flow names.
    QString toText() const;

    /// The report as an object with the keys counts, groups and gaps.
    QJsonObject toJson() const;

private:
    QList<IncidentGroup> m_groups;
    QStringList m_gaps;
    std::array<qsizetype, kindCount> m_counts{};
};

}
