#pragma once

#include "core/event.h"
#include "core/eventlogsettings.h"
#include "core/lamportclock.h"

#include <QList>

#include <deque>
#include <mutex>

namespace Rattanpick
{

/// Writes an event to the logger "rattanpick.event" as one line of JSON, if its level is enabled.
void writeEvent(const Event &event);

/// Keeps the most recent events of this process and its Lamport clock. Thread-safe.
///
/// Each event is also written as one line of JSON to the logger "rattanpick.event", or to the sink of the settings.
class EventLog
{
public:
    /// Creates an empty log.
    explicit EventLog(const EventLogSettings &settings);

    // Recording

    /// Records an event with a Lamport clock above all events recorded and clocks merged before. Returns the event
    /// as stored.
    Event record(EventNumber number, const QString &detail = {}, const QString &flow = {}, quint64 request = 0);

    /// Merges the Lamport clock of a received message.
    void merge(quint64 lamport)
    {
        m_clock.merge(lamport);
    }

    /// Advances the Lamport clock for an outgoing message and returns the value to send.
    quint64 tick()
    {
        return m_clock.tick();
    }

    // Reading

    /// The current value of the Lamport clock.
    quint64 lamport() const
    {
        return m_clock.value();
    }

    /// The stored events with a Lamport clock above @p lamport, oldest first.
    QList<Event> eventsSince(quint64 lamport) const;

    /// The number of events that were overwritten by later ones.
    quint64 overwritten() const;

private:
    void store(Event &event);
    void write(const Event &event);

    EventLogSettings m_settings;
    LamportClock m_clock;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
    quint64 m_overwritten = 0;
};

}
