#pragma once

#include "core/eventnumber.h"

#include <QByteArray>
#include <QList>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// One entry of the time line: what a process did, when, and after what it had seen.
struct Event
{
    EventNumber number = EventNumber::ProcessStarted;
    /// Name of the process that recorded it.
    QString process;
    /// Lamport clock of the process; orders events over all processes by causality.
    quint64 lamport = 0;
    /// Wall clock in milliseconds since 1970; for people, never for order.
    qint64 wallMilliseconds = 0;
    /// The flow concerned, empty if none.
    QString flow;
    /// The number of the request concerned, 0 if none.
    quint64 request = 0;
    /// One line of detail, such as the reason.
    QString detail;

    bool operator==(const Event &) const = default;

    /// One line of JSON with the keys number, name, process, lamport, wall, flow, request and detail.
    QByteArray toJson() const;

    /// Parses what toJson() wrote; nothing if it is no JSON object or the number is unknown.
    static std::optional<Event> fromJson(const QByteArray &line);
};

/// How urgent an event is for an operator.
enum class EventLevel : quint8 {
    Debug,
    Info,
    Warning,
    Error,
};

/// The name of an event number as the catalogue has it, such as "FlowOpened"; empty if the number is unknown.
QString eventName(EventNumber number);

/// The number of an event name; nothing if no event has the name.
std::optional<EventNumber> eventNumberOf(const QString &name);

/// The level of an event number as the catalogue has it; Error if the number is unknown.
EventLevel eventLevel(EventNumber number);

/// "debug", "info", "warning" or "error".
QString eventLevelName(EventLevel level);

/// The level of a name that eventLevelName() gives; nothing for another text.
std::optional<EventLevel> eventLevelOf(const QString &name);

/// All event numbers in rising order.
QList<EventNumber> allEventNumbers();

}
