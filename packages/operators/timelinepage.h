#pragma once

#include "core/event.h"

#include <QByteArray>
#include <QList>
#include <QString>
#include <QStringList>

namespace Rattanpick
{

/// A self-contained HTML page that shows the events of all processes as inline SVG. Needs no network access.
///
/// Each process has a lane. Events are placed from left to right in the order of their Lamport clocks, so that a cause
/// is left of its effects. Events with the same clock are independent and share a column.
class TimelinePage
{
public:
    /// Creates a page from events in any order. @p gaps lists reasons why events may be missing.
    TimelinePage(const QList<Event> &events, const QStringList &gaps);

    /// The page in UTF-8.
    QByteArray toHtml() const;

private:
    QString lanes() const;
    QString marks() const;
    QString legend() const;

    QList<Event> m_events;
    QStringList m_gaps;
    /// Names of the processes, ordered by their first events.
    QStringList m_processes;
    /// The column of each event of m_events.
    QList<int> m_columns;
};

}
