#pragma once

#include "core/event.h"

#include <QJsonObject>
#include <QList>
#include <QString>

#include <array>
#include <cstddef>

namespace Rattanpick
{

/// What an incident means for a caller.
enum class IncidentKind : quint8 {
    FlowBroken,
    FlowRefused,
    RequestNotRun,
    RequestOutcomeUnknown,
};

/// The incidents of one kind and cause, in the order of their Lamport clocks.
struct IncidentGroup
{
    IncidentKind kind = IncidentKind::FlowBroken;
    /// The detail of the events; "no cause recorded" if they have none.
    QString cause;
    QList<Event> cases;

    bool operator==(const IncidentGroup &) const = default;
};

/// Which flows broke, and which flows and requests were refused or have an unknown outcome, and why.
///
/// This is the text that users publish, so it leaves no case out and says how complete the events are.
class IncidentReport
{
public:
    /// The number of incident kinds.
    static constexpr std::size_t kindCount = 4;

    /// Groups the events that are incidents; others are ignored. @p gaps tells in lines what the events may lack.
    IncidentReport(const QList<Event> &events, const QStringList &gaps);

    /// The groups, by kind, then by falling count, then by cause.
    const QList<IncidentGroup> &groups() const
    {
        return m_groups;
    }

    /// The number of incidents of a kind.
    qsizetype count(IncidentKind kind) const
    {
        return m_counts[static_cast<std::size_t>(kind)];
    }

    /// Whether there is no incident at all.
    bool isEmpty() const
    {
        return m_groups.isEmpty();
    }

    /// The report as text of at most 120 columns but for long causes and flows.
    QString toText() const;

    /// The report as an object with the keys counts, groups and gaps.
    QJsonObject toJson() const;

private:
    QList<IncidentGroup> m_groups;
    QStringList m_gaps;
    std::array<qsizetype, kindCount> m_counts{};
};

}
