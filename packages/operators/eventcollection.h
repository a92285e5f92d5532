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

/// Events of several processes, from files of JSON lines and from admin interfaces.
class EventCollection
{
public:
    /// Adds the events of a text with one JSON object a line.
    ///
    /// Text before the first "{" of a line and lines without one are left out, so that logs can be read; lines that
    /// look like an event but are none give a finding.
    void addText(const QString &file, const QByteArray &text);

    /// Adds the events that a process keeps; false with a finding if it does not answer within @p timeout.
    bool addProcess(const Endpoint &admin, std::chrono::milliseconds timeout);

    /// The events of the given wall clock span (milliseconds since 1970, both ends included), ordered by Lamport clock,
    /// then by process; an event that was added twice is there once.
    QList<Event> events(qint64 fromMilliseconds, qint64 toMilliseconds) const;

    /// Lines that could not be read, processes that did not answer and events that processes no longer keep.
    const Findings &findings() const
    {
        return m_findings;
    }

private:
    QList<Event> m_events;
    Findings m_findings;
};

}
