#pragma once

#include "core/endpoint.h"

#include <QJsonObject>
#include <QList>
#include <QString>

#include <chrono>
#include <optional>

namespace Rattanpick
{

/// What one process has answered about its state.
struct ProcessStatus
{
    Endpoint admin;
    /// As AdminHandlers::status describes it; nothing if the process did not answer.
    std::optional<QJsonObject> status;
    /// Why there is no status.
    QString error;

    bool operator==(const ProcessStatus &) const = default;
};

/// The state of several processes, side by side.
class StatusReport
{
public:
    /// Takes answers that were collected before.
    explicit StatusReport(const QList<ProcessStatus> &processes);

    /// Asks the processes, several at the same time; each call ends within @p timeout.
    static StatusReport collect(const QList<Endpoint> &admins, std::chrono::milliseconds timeout);

    /// Whether every process has answered.
    bool isComplete() const;

    /// Whether all processes that answered have the same version in force.
    bool hasOneVersion() const;

    /// A table with a line for each process, then the versions in force with their counts.
    QString toText() const;

    /// The object with the keys processes (admin, status, error) and versions (counts by version).
    QJsonObject toJson() const;

private:
    QList<ProcessStatus> m_processes;
};

}
