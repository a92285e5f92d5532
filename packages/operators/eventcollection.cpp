#include "operators/eventcollection.h"

#include "operators/adminclient.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace Rattanpick
{

namespace
{

auto sortKey(const Event &event)
{
    return std::tie(event.lamport, event.process, event.number, event.flow, event.request, event.wallMilliseconds, event.detail);
}

}

void EventCollection::addText(const QString &file, const QByteArray &text)
{
    int line = 0;
    for (const QByteArray &content : text.split('\n')) {
        ++line;
        const qsizetype start = content.indexOf('{');
        if (start < 0) {
            continue;
        }
        const std::optional<Event> event = Event::fromJson(content.sliced(start).trimmed());
        if (!event.has_value()) {
            m_findings.append({{file, line, {}}, QStringLiteral("line is not an event"), QStringLiteral("one JSON object of a known event number")});
            continue;
        }
        m_events.append(*event);
    }
}

bool EventCollection::addProcess(const Endpoint &admin, std::chrono::milliseconds timeout)
{
    AdminClient client({admin, timeout});
    const std::optional<AdminEvents> answer = client.events(0);
    if (!answer.has_value()) {
        m_findings.append({{admin.toString(), 0, {}}, QStringLiteral("process did not answer: %1").arg(client.lastError()), {}});
        return false;
    }
    if (answer->overwritten > 0) {
        m_findings.append({{admin.toString(), 0, {}}, QStringLiteral("%1 earlier events are no longer kept").arg(answer->overwritten), {}});
    }
    m_events.append(answer->events);
    return true;
}

QList<Event> EventCollection::events(qint64 fromMilliseconds, qint64 toMilliseconds) const
{
    QList<Event> selected;
    for (const Event &event : m_events) {
        if (event.wallMilliseconds >= fromMilliseconds && event.wallMilliseconds <= toMilliseconds) {
            selected.append(event);
        }
    }
    std::ranges::sort(selected, {}, &sortKey);
    selected.erase(std::unique(selected.begin(), selected.end()), selected.end());
    return selected;
}

}
