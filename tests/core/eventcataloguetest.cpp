#include <core/event.h>

#include <QFile>
#include <QMap>
#include <QRegularExpression>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

QString readSourceFile(const QString &path)
{
    QFile file(QStringLiteral(RATTANPICK_SOURCE_DIR "/") + path);
    return file.open(QIODevice::ReadOnly) ? QString::fromUtf8(file.readAll()) : QString();
}

struct CatalogueEntry
{
    QString name;
    QString level;
    QString meaning;
    QString action;
};

QMap<int, CatalogueEntry> readCatalogue()
{
    static const QRegularExpression row(QStringLiteral(R"(^\| (\d+) \| (\w+) \| (\w+) \| ([^|]+) \| ([^|]+) \|$)"), QRegularExpression::MultilineOption);
    QMap<int, CatalogueEntry> entries;
    QRegularExpressionMatchIterator matches = row.globalMatch(readSourceFile(QStringLiteral("docs/EVENTS.md")));
    while (matches.hasNext()) {
        const QRegularExpressionMatch match = matches.next();
        const int number = match.captured(1).toInt();
        EXPECT_FALSE(entries.contains(number)) << number << " is listed twice";
        entries.insert(number, {match.captured(2), match.captured(3), match.captured(4).trimmed(), match.captured(5).trimmed()});
    }
    return entries;
}

QMap<int, QString> readEnumeration()
{
    static const QRegularExpression enumerator(QStringLiteral(R"(^\s+(\w+) = (\d+),$)"), QRegularExpression::MultilineOption);
    QMap<int, QString> names;
    QRegularExpressionMatchIterator matches = enumerator.globalMatch(readSourceFile(QStringLiteral("packages/core/eventnumber.h")));
    while (matches.hasNext()) {
        const QRegularExpressionMatch match = matches.next();
        names.insert(match.captured(2).toInt(), match.captured(1));
    }
    return names;
}

}

// Guards against an event without a catalogue entry, an entry without an event, and names or levels that differ.
TEST(EventCatalogueTest, CatalogueAndEnumerationAgree)
{
    const QMap<int, CatalogueEntry> catalogue = readCatalogue();
    const QMap<int, QString> enumeration = readEnumeration();
    ASSERT_FALSE(enumeration.isEmpty());
    EXPECT_EQ(catalogue.keys(), enumeration.keys());
    for (const auto &[number, entry] : catalogue.asKeyValueRange()) {
        EXPECT_EQ(entry.name, enumeration.value(number)) << number;
        EXPECT_EQ(entry.level, eventLevelName(eventLevel(static_cast<EventNumber>(number)))) << number;
        EXPECT_FALSE(entry.meaning.isEmpty()) << number;
        EXPECT_FALSE(entry.action.isEmpty()) << number;
    }
}

// Guards against an event number without a name, because the JSON of such an event could not be read back.
TEST(EventCatalogueTest, EveryEventHasItsName)
{
    const QMap<int, QString> enumeration = readEnumeration();
    EXPECT_EQ(allEventNumbers().size(), enumeration.size());
    for (const auto &[number, name] : enumeration.asKeyValueRange()) {
        EXPECT_EQ(eventName(static_cast<EventNumber>(number)), name);
        EXPECT_EQ(eventNumberOf(name), static_cast<EventNumber>(number));
    }
}
