#include "operators/statusreport.h"

#include "operators/adminclient.h"

#include <QJsonArray>
#include <QMap>
#include <QStringList>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace Rattanpick
{

namespace
{

// Each unresponsive process takes the full timeout, so the processes are queried in parallel. Otherwise a failed data
// centre would make the report slow.
constexpr std::size_t maximumParallelCalls = 16;

QString textOf(const QJsonObject &status, const char *key)
{
    const QString text = status.value(QLatin1String(key)).toVariant().toString();
    return text.isEmpty() ? QStringLiteral("-") : text;
}

QString refusalsOf(const QJsonObject &status)
{
    QStringList refusals;
    const QJsonObject counts = status.value(QLatin1String("refusals")).toObject();
    for (const QString &reason : counts.keys()) {
        refusals.append(QStringLiteral("%1=%2").arg(reason, counts.value(reason).toVariant().toString()));
    }
    return refusals.isEmpty() ? QStringLiteral("-") : refusals.join(QLatin1Char(' '));
}

QStringList rowOf(const ProcessStatus &process)
{
    if (!process.status.has_value()) {
        return {process.admin.toString(), QStringLiteral("no answer: ") + process.error};
    }
    const QJsonObject &status = *process.status;
    return {process.admin.toString(),
            textOf(status, "name"),
            textOf(status, "role"),
            textOf(status, "dataCentre"),
            textOf(status, "version"),
            textOf(status, "state"),
            textOf(status, "flows"),
            refusalsOf(status)};
}

QString tableOf(const QList<QStringList> &rows)
{
    QList<qsizetype> widths;
    for (const QStringList &row : rows) {
        for (qsizetype column = 0; column + 1 < row.size(); ++column) {
            widths.resize(std::max(widths.size(), column + 1));
            widths[column] = std::max(widths.at(column), row.at(column).size());
        }
    }
    QString text;
    for (const QStringList &row : rows) {
        for (qsizetype column = 0; column + 1 < row.size(); ++column) {
            text += row.at(column).leftJustified(widths.at(column)) + QStringLiteral("  ");
        }
        text += row.last() + QLatin1Char('\n');
    }
    return text;
}

QMap<QString, int> versionsOf(const QList<ProcessStatus> &processes)
{
    QMap<QString, int> versions;
    for (const ProcessStatus &process : processes) {
        if (process.status.has_value()) {
            ++versions[textOf(*process.status, "version")];
        }
    }
    return versions;
}

}

StatusReport::StatusReport(const QList<ProcessStatus> &processes)
    : m_processes(processes)
{
}

StatusReport StatusReport::collect(const QList<Endpoint> &admins, std::chrono::milliseconds timeout)
{
    std::vector<ProcessStatus> processes(static_cast<std::size_t>(admins.size()));
    std::atomic<std::size_t> next = 0;
    const auto worker = [&] {
        for (std::size_t index = next++; index < processes.size(); index = next++) {
            AdminClient client({admins.at(static_cast<qsizetype>(index)), timeout});
            const std::optional<QJsonObject> status = client.status();
            processes[index] = {admins.at(static_cast<qsizetype>(index)), status, client.lastError()};
        }
    };
    {
        std::vector<std::jthread> threads;
        threads.reserve(maximumParallelCalls);
        for (std::size_t index = 0; index < std::min(maximumParallelCalls, processes.size()); ++index) {
            threads.emplace_back(worker);
        }
    }
    return StatusReport(QList<ProcessStatus>(processes.begin(), processes.end()));
}

bool StatusReport::isComplete() const
{
    return std::ranges::all_of(m_processes, [](const ProcessStatus &process) { return process.status.has_value(); });
}

bool StatusReport::hasOneVersion() const
{
    return versionsOf(m_processes).size() <= 1;
}

QString StatusReport::toText() const
{
    QList<QStringList> rows{QStringLiteral("ADMIN,NAME,ROLE,DATA CENTRE,VERSION,STATE,FLOWS,REFUSALS").split(QLatin1Char(','))};
    for (const ProcessStatus &process : m_processes) {
        rows.append(rowOf(process));
    }
    QString text = tableOf(rows) + QLatin1Char('\n');
    const QMap<QString, int> versions = versionsOf(m_processes);
    for (auto version = versions.begin(); version != versions.end(); ++version) {
        text += QStringLiteral("version %1 at %2 processes\n").arg(version.key(), QString::number(version.value()));
    }
    return text;
}

QJsonObject StatusReport::toJson() const
{
    QJsonArray processes;
    for (const ProcessStatus &process : m_processes) {
        QJsonObject object{{QStringLiteral("admin"), process.admin.toString()}};
        if (process.status.has_value()) {
            object.insert(QStringLiteral("status"), *process.status);
        } else {
            object.insert(QStringLiteral("error"), process.error);
        }
        processes.append(object);
    }
    QJsonObject counts;
    const QMap<QString, int> versions = versionsOf(m_processes);
    for (auto version = versions.begin(); version != versions.end(); ++version) {
        counts.insert(version.key(), version.value());
    }
    return {{QStringLiteral("processes"), processes}, {QStringLiteral("versions"), counts}};
}

}
