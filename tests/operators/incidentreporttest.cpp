#include <operators/eventcollection.h>
#include <operators/incidentreport.h>
#include <operators/timelinepage.h>

#include <QXmlStreamReader>

#include <gtest/gtest.h>

#include <limits>

using namespace Rattanpick;

namespace
{

constexpr qint64 always = std::numeric_limits<qint64>::max();

Event eventOf(EventNumber number, const char *process, quint64 lamport, const char *detail, quint64 request = 0)
{
    return {number,
            QString::fromLatin1(process),
            lamport,
            1700000000000 + static_cast<qint64>(lamport),
            QStringLiteral("udp a -> b"),
            request,
            QString::fromLatin1(detail)};
}

const QList<Event> someEvents{
    eventOf(EventNumber::FlowOpened, "agent-2", 1, ""),
    eventOf(EventNumber::FlowBroken, "agent-1", 9, "target lost"),
    eventOf(EventNumber::FlowBroken, "agent-2", 4, "target lost"),
    eventOf(EventNumber::FlowBroken, "agent-1", 5, ""),
    eventOf(EventNumber::RequestNotRun, "agent-1", 6, "draining", 7),
    eventOf(EventNumber::RequestOutcomeUnknown, "agent-1", 7, "target lost", 8),
    eventOf(EventNumber::FlowRefused, "agent-1", 8, "overloaded"),
};

}

// Guards against an incident that is missing from the report or counted under the wrong kind or cause.
TEST(IncidentReportTest, GroupsEveryCaseByCause)
{
    const IncidentReport report(someEvents, {});
    EXPECT_EQ(report.count(IncidentKind::FlowBroken), 3);
    EXPECT_EQ(report.count(IncidentKind::FlowRefused), 1);
    EXPECT_EQ(report.count(IncidentKind::RequestNotRun), 1);
    EXPECT_EQ(report.count(IncidentKind::RequestOutcomeUnknown), 1);
    ASSERT_EQ(report.groups().size(), 5);
    EXPECT_EQ(report.groups().first(), (IncidentGroup{IncidentKind::FlowBroken, QStringLiteral("target lost"), {someEvents.at(2), someEvents.at(1)}}));
    EXPECT_EQ(report.groups().at(1).cause, QStringLiteral("no cause recorded"));
    EXPECT_TRUE(IncidentReport({someEvents.first()}, {}).isEmpty());
}

// Guards against a report that omits individual cases or the reasons why events may be missing.
TEST(IncidentReportTest, TextNamesCasesAndGaps)
{
    const QString text = IncidentReport(someEvents, {QStringLiteral("127.0.0.1:1 did not answer")}).toText();
    EXPECT_TRUE(text.startsWith(QStringLiteral("Flows broken: 3\n"))) << text.toStdString();
    EXPECT_TRUE(text.contains(QStringLiteral("Requests refused (not run), cause: draining (1)\n"
                                             "    2023-11-14T22:13:20.006Z  udp a -> b  request 7  at agent-1 (clock 6)\n")))
        << text.toStdString();
    EXPECT_TRUE(text.contains(QStringLiteral("may be incomplete:\n    127.0.0.1:1 did not answer"))) << text.toStdString();
}

// Guards against events that cannot be read from logs that contain other lines, and against malformed events that are
// not reported.
TEST(EventCollectionTest, ReadsLogsAndReportsDamage)
{
    EventCollection collection;
    const QByteArray text = "2023-11-14 INFO start\n" + someEvents.at(1).toJson() + "\n2023 INFO x " + someEvents.at(2).toJson() + "\r\n{\"number\": 3\n";
    collection.addText(QStringLiteral("a.log"), text);
    collection.addText(QStringLiteral("b.log"), someEvents.at(1).toJson());
    EXPECT_EQ(collection.events(0, always), (QList<Event>{someEvents.at(2), someEvents.at(1)}));
    ASSERT_EQ(collection.findings().size(), 1);
    EXPECT_EQ(collection.findings().first().location, (FindingLocation{QStringLiteral("a.log"), 4, {}}));
    EXPECT_EQ(collection.events(0, someEvents.at(2).wallMilliseconds), QList<Event>{someEvents.at(2)});
}

// Guards against a report that does not mention a process that did not reply.
TEST(EventCollectionTest, ReportsSilentProcesses)
{
    EventCollection collection;
    EXPECT_FALSE(collection.addProcess({0x7f000001, 1}, std::chrono::milliseconds(200)));
    EXPECT_EQ(collection.findings().size(), 1);
}

// Guards against a page that needs a network, contains malformed markup, or does not escape the text of events.
TEST(TimelinePageTest, PageIsSelfContainedAndEscaped)
{
    const QByteArray html = TimelinePage({eventOf(EventNumber::FlowBroken, "<b>&%1", 1, "</title><script>%2")}, {QStringLiteral("<gap>")}).toHtml();
    EXPECT_FALSE(html.contains("src=") || html.contains("href=") || html.contains("url(") || html.contains("import")) << html.toStdString();
    EXPECT_TRUE(html.contains("&lt;/title&gt;&lt;script&gt;%2")) << html.toStdString();
    // Once in the label of the lane and once in the text of the event.
    EXPECT_EQ(html.count("&lt;b&gt;&amp;%1"), 2) << html.toStdString();
    EXPECT_TRUE(html.contains("&lt;gap&gt;"));
    const qsizetype start = html.indexOf("<svg");
    const qsizetype end = html.indexOf("</svg>") + 6;
    QXmlStreamReader svg(html.sliced(start, end - start));
    while (!svg.atEnd()) {
        svg.readNext();
    }
    EXPECT_FALSE(svg.hasError()) << svg.errorString().toStdString();
}

// Guards against effects that are drawn left of their causes, and against processes that share a lane.
TEST(TimelinePageTest, CausesStandLeftOfEffects)
{
    const QString html = QString::fromUtf8(TimelinePage(someEvents, {}).toHtml());
    QXmlStreamReader svg(html.mid(html.indexOf(QLatin1String("<svg"))));
    int lastX = 0;
    QList<int> lanes;
    while (!svg.atEnd() && !(svg.isEndElement() && svg.name() == QLatin1String("svg"))) {
        svg.readNext();
        if (!svg.isStartElement() || svg.name() != QLatin1String("circle")) {
            continue;
        }
        const int x = svg.attributes().value(QLatin1String("cx")).toInt();
        EXPECT_GT(x, lastX);
        lastX = x;
        lanes.append(svg.attributes().value(QLatin1String("cy")).toInt());
    }
    ASSERT_EQ(lanes.size(), someEvents.size());
    // Ordered by Lamport clock: agent-2, agent-2, then agent-1.
    EXPECT_EQ(lanes.at(0), lanes.at(1));
    EXPECT_NE(lanes.at(1), lanes.at(2));
}
