#pragma once

#include "core/eventnumber.h"

#include <QByteArray>
#include <QList>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// One event of a process, with its logical and wall clock time.
struct Event
{
    EventNumber number = EventNumber::ProcessStarted;
    /// Name of the process that recorded the event.
    QString process;
    /// Lamport clock of the process; orders the events of all processes consistently with causality.
    quint64 lamport = 0;
    /// Wall clock in milliseconds since 1970. For display only; clocks of different machines do not give an order.
    qint64 wallMilliseconds = 0;
    /// The flow that the event is about, or empty.
    QString flow;
    /// The number of the request that the event is about, or 0.
    quint64 request = 0;
    /// Details in one line, such as the reason.
    QString detail;

    bool operator==(const Event &) const = default;

    /// Serialises the event to one line of JSON with the keys number, name, process, lamport, wall, flow, request
    /// and detail.
    QByteArray toJson() const;

    /// Parses the output of toJson(). Returns nothing if the line is not a JSON object or the event number is unknown.
    static std::optional<Event> fromJson(const QByteArray &line);
};

/// The severity of an event.
enum class EventLevel : quint8 {
    Debug,
    Info,
    Warning,
    Error,
};

/// The name of an event number as listed in the catalogue, such as "FlowOpened"; empty if the number is unknown.
QString eventName(EventNumber number);

/// The event number for a name, or nothing if no event has the name.
std::optional<EventNumber> eventNumberOf(const QString &name);

/// The level of an event number as listed in the catalogue; Error if the number is unknown.
EventLevel eventLevel(EventNumber number);

/// The name of a level: "debug", "info", "warning" or "error".
QString eventLevelName(EventLevel level);

/// Parses a name returned by eventLevelName(); nothing for any other text.
std::optional<EventLevel> eventLevelOf(const QString &name);

/// All event numbers in ascending order.
QList<EventNumber> allEventNumbers();

}
