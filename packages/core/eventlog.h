#pragma once

#include "core/event.h"
#include "core/eventlogsettings.h"
#include "core/lamportclock.h"

#include <QList>

#include <deque>
#include <mutex>

namespace Rattanpick
{

/// Writes an event to the logger "rattanpick.event" as one line of JSON, if its level is written at all.
void writeEvent(const Event &event);

/// The latest events of this process and its Lamport clock; safe to use from any thread.
///
/// Each event is written to the logger "rattanpick.event" too, as one line of JSON.
class EventLog
{
public:
    /// Builds an empty log.
    explicit EventLog(const EventLogSettings &settings);

    // Recording

    /// Records an event after everything recorded or merged before; returns it as stored.
    Event record(EventNumber number, const QString &detail = {}, const QString &flow = {}, quint64 request = 0);

    /// Takes in the Lamport clock of a received message.
    void merge(quint64 lamport)
    {
        m_clock.merge(lamport);
    }

    /// Advances the Lamport clock for a message to be sent; the value to send.
    quint64 tick()
    {
        return m_clock.tick();
    }

    // Reading

    /// The latest value of the Lamport clock.
    quint64 lamport() const
    {
        return m_clock.value();
    }

    /// The kept events with a Lamport clock above @p lamport, oldest first.
    QList<Event> eventsSince(quint64 lamport) const;

    /// Events that are no longer kept because later ones took their place.
    quint64 overwritten() const;

private:
    void keep(Event &event);
    void write(const Event &event);

    EventLogSettings m_settings;
    LamportClock m_clock;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
    quint64 m_overwritten = 0;
};

}
