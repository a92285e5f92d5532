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

/// Events of a process, as returned by its admin interface.
struct AdminEvents
{
    /// The events, oldest first.
    QList<Event> events;
    /// Number of older events that the process has overwritten. If it is not 0, reports made from the list may be
    /// incomplete.
    quint64 overwritten = 0;

    bool operator==(const AdminEvents &) const = default;
};

/// Handlers for the methods of the admin interface. They are called in the thread of the server.
///
/// A method without a handler returns an error.
struct AdminHandlers
{
    /// The state of the process: an object with the keys name, role, dataCentre, version (formatted by
    /// ConfigurationVersion::toString()), state (such as "serving", "joining", "holding", "recovering", "draining",
    /// "stopping" or "fenced"), flows (a number) and refusals (an object with the counts by reason), which
    /// `rattanpickctl status` shows. Processes may add further keys.
    std::function<QJsonObject()> status;
    /// The stored events with a Lamport clock above @p sinceLamport.
    std::function<AdminEvents(quint64 sinceLamport)> events;
    /// The metrics, as returned by Metrics::snapshot().
    std::function<QJsonObject()> metrics;
    /// The difference from version @p from, or the complete document if @p from is null. Returns nothing if no document
    /// is in force or the version is unknown.
    std::function<std::optional<QByteArray>(const ConfigurationVersion &from)> documentDelta;
};

}
