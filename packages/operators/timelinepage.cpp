#include "operators/timelinepage.h"

#include <QDateTime>
#include <QHash>
#include <QTimeZone>

#include <algorithm>
#include <array>
#include <tuple>

namespace Rattanpick
{

namespace
{

// Pixels.
constexpr int laneHeight = 28;
constexpr int columnWidth = 14;
constexpr int labelWidth = 180;
constexpr int markRadius = 5;
constexpr int topMargin = 12;

struct EventCategory
{
    const char *key;
    const char *title;
    const char *colour;
};

// Indexed by the hundreds of an event number, minus one.
constexpr std::array<EventCategory, 7> categories{{
    {"life", "process life", "#6b7280"},
    {"configuration", "configuration", "#2563eb"},
    {"flow", "flows", "#059669"},
    {"request", "requests", "#7c3aed"},
    {"membership", "membership", "#d97706"},
    {"limit", "limits", "#0891b2"},
    {"drop", "dropped packets", "#be185d"},
}};

const char *const style = R"(
body { font: 14px sans-serif; margin: 16px; }
.scroll { overflow-x: auto; border: 1px solid #d1d5db; }
.lane { stroke: #d1d5db; }
.error { stroke: #dc2626; stroke-width: 3; }
.warning { stroke: #f59e0b; stroke-width: 2; }
circle:hover { stroke: #000; stroke-width: 2; }
.legend label { margin-right: 14px; }
.gap { color: #b91c1c; }
)";

// The check boxes of the legend show and hide the events of a category by CSS class.
const char *const script = R"(
for (const box of document.querySelectorAll('.legend input')) {
  box.addEventListener('change', () => {
    for (const mark of document.querySelectorAll('circle.' + box.value)) { mark.style.display = box.checked ? '' : 'none'; }
  });
}
)";

const EventCategory &categoryOf(EventNumber number)
{
    const std::size_t hundreds = static_cast<std::size_t>(number) / 100;
    return categories.at(std::clamp<std::size_t>(hundreds, 1, categories.size()) - 1);
}

QString tooltipText(const Event &event)
{
    const QString time = QDateTime::fromMSecsSinceEpoch(event.wallMilliseconds, QTimeZone::utc()).toString(Qt::ISODateWithMs);
    // A single call of arg(), since chained calls would replace a "%1" in the name of a process.
    QString text = QStringLiteral("%1 %2\n%3, clock %4\n%5")
                       .arg(QString::number(static_cast<int>(event.number)), eventName(event.number), event.process, QString::number(event.lamport), time);
    if (!event.flow.isEmpty()) {
        text += QStringLiteral("\nflow ") + event.flow;
    }
    if (event.request != 0) {
        text += QStringLiteral("\nrequest %1").arg(event.request);
    }
    return event.detail.isEmpty() ? text : text + QLatin1Char('\n') + event.detail;
}

int laneMiddle(qsizetype lane)
{
    return topMargin + static_cast<int>(lane) * laneHeight + laneHeight / 2;
}

}

TimelinePage::TimelinePage(const QList<Event> &events, const QStringList &gaps)
    : m_events(events)
    , m_gaps(gaps)
{
    std::ranges::stable_sort(m_events, {}, [](const Event &event) { return std::tie(event.lamport, event.process); });
    int column = -1;
    quint64 clock = 0;
    for (const Event &event : m_events) {
        // Columns are numbered consecutively, without gaps in the clock values, to keep the page narrow.
        if (column < 0 || event.lamport != clock) {
            ++column;
            clock = event.lamport;
        }
        m_columns.append(column);
        if (!m_processes.contains(event.process)) {
            m_processes.append(event.process);
        }
    }
}

QByteArray TimelinePage::toHtml() const
{
    const int width = labelWidth + columnWidth * (m_columns.isEmpty() ? 1 : m_columns.last() + 2);
    const int height = laneMiddle(m_processes.size()) + topMargin;
    QString html =
        QStringLiteral(
            "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>rattanpick time line</title>\n<style>%1</style>\n</head>\n<body>\n")
            .arg(QLatin1String(style));
    html +=
        QStringLiteral(
            "<h1>Time line</h1>\n<p>%1 events of %2 processes, causes left of effects (Lamport clock). A red ring is an error, an amber ring a warning.</p>\n")
            .arg(m_events.size())
            .arg(m_processes.size());
    for (const QString &gap : m_gaps) {
        html += QStringLiteral("<p class=\"gap\">May be incomplete: %1</p>\n").arg(gap.toHtmlEscaped());
    }
    html += legend();
    html += QStringLiteral("<div class=\"scroll\">\n<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%1\" height=\"%2\">\n").arg(width).arg(height);
    html += lanes() + marks();
    html += QStringLiteral("</svg>\n</div>\n<script>%1</script>\n</body>\n</html>\n").arg(QLatin1String(script));
    return html.toUtf8();
}

QString TimelinePage::lanes() const
{
    const int right = labelWidth + columnWidth * (m_columns.isEmpty() ? 1 : m_columns.last() + 2);
    QString svg;
    for (qsizetype lane = 0; lane < m_processes.size(); ++lane) {
        const int y = laneMiddle(lane);
        svg += QStringLiteral("<line class=\"lane\" x1=\"%1\" y1=\"%2\" x2=\"%3\" y2=\"%2\"/>").arg(labelWidth).arg(y).arg(right);
        svg += QStringLiteral("<text x=\"4\" y=\"%1\">").arg(y + markRadius) + m_processes.at(lane).toHtmlEscaped() + QStringLiteral("</text>\n");
    }
    return svg;
}

QString TimelinePage::marks() const
{
    QHash<QString, qsizetype> laneOf;
    for (qsizetype lane = 0; lane < m_processes.size(); ++lane) {
        laneOf.insert(m_processes.at(lane), lane);
    }
    QString svg;
    for (qsizetype index = 0; index < m_events.size(); ++index) {
        const Event &event = m_events.at(index);
        const EventCategory &category = categoryOf(event.number);
        svg += QStringLiteral("<circle class=\"%1 %2\" cx=\"%3\" cy=\"%4\" r=\"%5\" fill=\"%6\"><title>")
                   .arg(QLatin1String(category.key), eventLevelName(eventLevel(event.number)))
                   .arg(labelWidth + columnWidth * (m_columns.at(index) + 1))
                   .arg(laneMiddle(laneOf.value(event.process)))
                   .arg(markRadius)
                   .arg(QLatin1String(category.colour));
        // Appended, since arg() would replace a "%1" in the event text.
        svg += tooltipText(event).toHtmlEscaped() + QStringLiteral("</title></circle>\n");
    }
    return svg;
}

QString TimelinePage::legend() const
{
    QString html = QStringLiteral("<p class=\"legend\">\n");
    for (const EventCategory &category : categories) {
        html += QStringLiteral("<label><input type=\"checkbox\" value=\"%1\" checked> <span style=\"color: %2\">&#9679;</span> %3</label>\n")
                    .arg(QLatin1String(category.key), QLatin1String(category.colour), QLatin1String(category.title));
    }
    return html + QStringLiteral("</p>\n");
}

}
