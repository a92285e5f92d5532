#include "operators/flowtrace.h"

#include <QDateTime>
#include <QSet>

#include <algorithm>
#include <iterator>
#include <limits>

namespace Rattanpick
{

namespace
{

/// Length of the context before the first decision. Changes take effect within at most five seconds, so this covers the
/// state on which the first decision was based.
constexpr qint64 contextWindowMilliseconds = 6000;

QString timeOf(const Event &event)
{
    return QDateTime::fromMSecsSinceEpoch(event.wallMilliseconds, Qt::UTC).toString(Qt::ISODateWithMs);
}

QString lineOf(const Event &event)
{
    return QStringLiteral("  %1  %2  %3  %4  %5\n")
        .arg(timeOf(event))
        .arg(event.lamport, 8)
        .arg(event.process, -20)
        .arg(eventName(event.number), -18)
        .arg(event.detail);
}

}

bool FlowSelector::matches(const QString &name) const
{
    if (!flow.isEmpty()) {
        return name == flow;
    }
    // Flow names have the form "udp CALLER:PORT -> ADDRESS:PORT".
    const qsizetype begin = name.indexOf(QLatin1Char(' ')) + 1;
    const QString source = name.mid(begin, name.indexOf(QLatin1String(" -> ")) - begin);
    return !caller.isEmpty() && (source == caller || source.startsWith(caller + QLatin1Char(':')));
}

FlowTrace::FlowTrace(const QList<Event> &events, const FlowSelector &selector)
{
    QSet<QString> processes;
    qint64 first = std::numeric_limits<qint64>::max();
    qint64 last = std::numeric_limits<qint64>::min();
    for (const Event &event : events) {
        if (event.flow.isEmpty() || !selector.matches(event.flow)) {
            continue;
        }
        auto traced = std::ranges::find(m_flows, event.flow, &TracedFlow::flow);
        if (traced == m_flows.end()) {
            m_flows.append({event.flow, {}});
            traced = std::prev(m_flows.end());
        }
        traced->decisions.append(event);
        processes.insert(event.process);
        first = std::min(first, event.wallMilliseconds);
        last = std::max(last, event.wallMilliseconds);
    }
    for (const Event &event : events) {
        const bool isInTime = event.wallMilliseconds >= first - contextWindowMilliseconds && event.wallMilliseconds <= last;
        if (event.flow.isEmpty() && isInTime && processes.contains(event.process)) {
            m_context.append(event);
        }
    }
}

QString FlowTrace::toText() const
{
    QString text;
    for (const TracedFlow &traced : m_flows) {
        text += traced.flow + QLatin1Char('\n');
        for (const Event &decision : traced.decisions) {
            text += lineOf(decision);
        }
    }
    if (m_flows.isEmpty()) {
        return QStringLiteral("no decision is recorded; the log level or rate limit may have left it out\n");
    }
    if (!m_context.isEmpty()) {
        text += QStringLiteral("context: other events of these processes\n");
    }
    for (const Event &event : m_context) {
        text += lineOf(event);
    }
    return text;
}

}
