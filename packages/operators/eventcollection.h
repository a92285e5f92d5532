#pragma once

#include "core/endpoint.h"
#include "core/event.h"
#include "core/finding.h"

#include <QByteArray>
#include <QList>
#include <QString>

#include <chrono>

namespace Rattanpick
{

/// Collects the events of several processes from log files and admin interfaces.
class EventCollection
{
public:
    /// Adds the events of a text with one JSON object per line.
    ///
    /// Text before the first "{" of a line and lines without "{" are ignored, so that log files can be read. A line
    /// that contains "{" but is not an event adds a finding.
    void addText(const QString &file, const QByteArray &text);

    /// Adds the stored events of a process. Returns false and adds a finding if it does not reply within @p timeout.
    bool addProcess(const Endpoint &admin, std::chrono::milliseconds timeout);

    /// The events in the given wall clock interval (milliseconds since 1970, both ends inclusive), ordered by Lamport
    /// clock, then by process. Duplicate events are returned once.
    QList<Event> events(qint64 fromMilliseconds, qint64 toMilliseconds) const;

    /// Findings about unreadable lines, processes that did not reply, and events that processes have overwritten.
    const Findings &findings() const
    {
        return m_findings;
    }

private:
    QList<Event> m_events;
    Findings m_findings;
};

}
