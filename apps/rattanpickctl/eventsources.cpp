#include "eventsources.h"

#include "files.h"
#include "operators/eventcollection.h"

#include <QDateTime>

#include <limits>

namespace Rattanpick
{

namespace
{

// Milliseconds since the Unix epoch. A time without a time zone is UTC, as in all output.
std::optional<qint64> parseTime(const std::string &option, const std::string &text, qint64 fallback, QTextStream &err)
{
    if (text.empty()) {
        return fallback;
    }
    QDateTime time = QDateTime::fromString(QString::fromStdString(text), Qt::ISODateWithMs);
    if (!time.isValid()) {
        err << QString::fromStdString(option) << ": \"" << QString::fromStdString(text) << "\" is not a time (allowed: such as 2026-01-31T12:00:00Z)\n";
        return std::nullopt;
    }
    if (time.timeSpec() == Qt::LocalTime) {
        time.setTimeSpec(Qt::UTC);
    }
    return time.toMSecsSinceEpoch();
}

}

void EventSources::addTo(CLI::App &command)
{
    m_processes.addTo(command);
    command.add_option("--events", m_files, "Files with events as JSON lines, such as saved logs")->type_name("FILE");
    command.add_option("--from", m_from, "Leave out events before this time (ISO 8601, UTC if no zone is given)")->type_name("TIME");
    command.add_option("--to", m_to, "Leave out events after this time (ISO 8601, UTC if no zone is given)")->type_name("TIME");
}

std::optional<CollectedEvents> EventSources::collect(QTextStream &err) const
{
    const std::optional<qint64> from = parseTime("--from", m_from, std::numeric_limits<qint64>::min(), err);
    const std::optional<qint64> to = parseTime("--to", m_to, std::numeric_limits<qint64>::max(), err);
    const std::optional<QList<Endpoint>> endpoints = m_processes.endpoints(err);
    if (!from.has_value() || !to.has_value() || !endpoints.has_value()) {
        return std::nullopt;
    }
    if (m_files.empty() && endpoints->isEmpty()) {
        err << "name at least one of --events, --admin and --instances\n";
        return std::nullopt;
    }
    EventCollection collection;
    CollectedEvents collected;
    for (const std::string &path : m_files) {
        const std::optional<QByteArray> content = readFile(path, err);
        if (!content.has_value()) {
            return std::nullopt;
        }
        collection.addText(QString::fromStdString(path), *content);
    }
    for (const Endpoint &endpoint : *endpoints) {
        collected.isAnswerMissing = !collection.addProcess(endpoint, m_processes.timeout()) || collected.isAnswerMissing;
    }
    collected.events = collection.events(*from, *to);
    for (const Finding &finding : collection.findings()) {
        collected.gaps.append(finding.toString());
    }
    return collected;
}

}
