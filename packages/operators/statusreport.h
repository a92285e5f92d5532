#pragma once

#include "core/endpoint.h"

#include <QJsonObject>
#include <QList>
#include <QString>

#include <chrono>
#include <optional>

namespace Rattanpick
{

/// The state of one process, or the error of the query.
struct ProcessStatus
{
    Endpoint admin;
    /// The object described at AdminHandlers::status; nothing if the process did not reply.
    std::optional<QJsonObject> status;
    /// The error message if there is no status.
    QString error;

    bool operator==(const ProcessStatus &) const = default;
};

/// The states of several processes in one table.
class StatusReport
{
public:
    /// Creates a report from statuses that have already been collected.
    explicit StatusReport(const QList<ProcessStatus> &processes);

    /// Queries the processes in parallel, with @p timeout for each call.
    static StatusReport collect(const QList<Endpoint> &admins, std::chrono::milliseconds timeout);

    /// Whether all processes have replied.
    bool isComplete() const;

    /// Whether all processes that replied have the same version in force.
    bool hasOneVersion() const;

    /// Formats a table with one line per process, then the versions in force with the number of processes.
    QString toText() const;

    /// Returns an object with the keys processes (admin, status, error) and versions (counts by version).
    QJsonObject toJson() const;

private:
    QList<ProcessStatus> m_processes;
};

}
