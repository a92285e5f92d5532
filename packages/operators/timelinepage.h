#pragma once

#include "core/event.h"

#include <QByteArray>
#include <QList>
#include <QString>
#include <QStringList>

namespace Rattanpick
{

/// One HTML page with the events of all processes, drawn as inline SVG; opens without a network.
///
/// Each process has a lane. Events stand from left to right in the order of their Lamport clocks, so that a cause
/// stands left of its effects; events with the same clock are independent and share a column.
class TimelinePage
{
public:
    /// Takes events in any order. @p gaps tells in lines what they may lack.
    TimelinePage(const QList<Event> &events, const QStringList &gaps);

    /// The page, UTF-8.
    QByteArray toHtml() const;

private:
    QString lanes() const;
    QString marks() const;
    QString legend() const;

    QList<Event> m_events;
    QStringList m_gaps;
    /// Names of the processes, in the order of their first events.
    QStringList m_processes;
    /// The column of each event of m_events.
    QList<int> m_columns;
};

}
