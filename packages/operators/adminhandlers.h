#pragma once

#include "core/configurationversion.h"
#include "core/event.h"

#include <QByteArray>
#include <QJsonObject>
#include <QList>

#include <functional>
#include <optional>

namespace Rattanpick
{

/// Events of a process, as its admin interface gives them.
struct AdminEvents
{
    /// Oldest first.
    QList<Event> events;
    /// Events that the process no longer keeps; a report made of this list may then be incomplete.
    quint64 overwritten = 0;

    bool operator==(const AdminEvents &) const = default;
};

/// What the admin interface of a process answers from; called in the thread of the server.
///
/// A method without a function is answered as an error.
struct AdminHandlers
{
    /// The state of the process: an object with the keys name, role, dataCentre, version (as ConfigurationVersion::toString()),
    /// state (such as "serving", "joining", "holding", "recovering", "draining", "stopping", "fenced"), flows (a number)
    /// and refusals (an object of counts by reason). Processes may add keys; `rattanpickctl status` shows these.
    std::function<QJsonObject()> status;
    /// The kept events with a Lamport clock above the given one.
    std::function<AdminEvents(quint64 sinceLamport)> events;
    /// The measurements, as Metrics::snapshot() gives them.
    std::function<QJsonObject()> metrics;
    /// The difference from a version, or the whole document for a null version; nothing if there is none.
    std::function<std::optional<QByteArray>(const ConfigurationVersion &from)> documentDelta;
};

}
