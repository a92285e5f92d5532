#include <operators/httpserver.h>
#include <platform/storesource.h>
#include <stream/directoryimage.h>
#include <stream/targetdirectory.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <gtest/gtest.h>

#include <algorithm>
#include <mutex>

using namespace Rattanpick;

namespace
{

const QString goodKey = QStringLiteral("servers/i-good");
const QString oddKey = QStringLiteral("servers/odd");

/// An entry of a target; @p fields replaces parts of its text.
QByteArray entry(const std::vector<std::pair<QByteArray, QByteArray>> &fields = {})
{
    QByteArray text = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"escale","version":"v1","slots":2,"state":"ready",)"
                      R"("warmup-left-ms":500,"seq":4,"born":1774064754312})";
    for (const auto &[from, to] : fields) {
        EXPECT_TRUE(text.contains(from)) << from.constData();
        text.replace(from, to);
    }
    return text;
}

/// Entries of another writer that name no target.
std::vector<QByteArray> oddEntries()
{
    std::vector<QByteArray> odd;
    for (const qsizetype depth : {900, 5'000, 200'000}) {
        odd.push_back(QByteArray(depth, '['));
        odd.push_back(QByteArray(depth, '[') + QByteArray(depth, ']'));
        odd.push_back(QByteArray("{\"a\":").repeated(depth) + '1' + QByteArray(depth, '}'));
        odd.push_back(entry({{"\"v1\"", QByteArray(depth, '[') + QByteArray(depth, ']')}}));
    }
    for (const char *number : {"1e400", "-1e400", "1e308", "99999999999999999999999999", "-1"}) {
        odd.push_back(entry({{"\"slots\":2", QByteArray("\"slots\":") + number}}));
        odd.push_back(entry({{"\"warmup-left-ms\":500", QByteArray("\"warmup-left-ms\":") + number}}));
        odd.push_back(entry({{"\"seq\":4", QByteArray("\"seq\":") + number}}));
        odd.push_back(entry({{"1774064754312", number}}));
    }
    for (const char *slots : {"0", "0.5", "65536", "4294967298"}) {
        odd.push_back(entry({{"\"slots\":2", QByteArray("\"slots\":") + slots}}));
    }
    for (const char *port : {"0", "65536", "70000", "4294967376", "18446744073709551696", "-80", "80.5", "1e3", "", "0x50", "8080 x"}) {
        odd.push_back(entry({{":8080", QByteArray(":") + port}}));
    }
    for (const char *address : {"0.0.0.0", "224.0.0.1", "255.255.255.255", "10.128.0.256", "10.128.0", "10.128.0.9.1", "4294967296.1.1.1"}) {
        odd.push_back(entry({{"10.128.0.9", address}}));
    }
    return odd;
}

/// A store that lists a good entry behind an odd one, and repeats both as events.
class StoreSourceTest : public testing::Test
{
protected:
    StoreSourceTest()
        : m_server({{0x7f000001, 0}})
    {
        m_server.handle("/rattanpick/kv-range", [this](const QByteArray &) { return answer("items", true); });
        m_server.handle("/rattanpick/kv-watch", [this](const QByteArray &) { return answer("events", false); });
        EXPECT_TRUE(m_server.start()) << m_server.lastError().toStdString();
    }

    ~StoreSourceTest() override
    {
        m_server.stop();
    }

    void setOddValue(const QByteArray &value, const QString &key = oddKey)
    {
        const std::scoped_lock lock(m_mutex);
        m_oddKey = key;
        m_oddValue = value;
    }

    /// Whether the answer names the good target and no other.
    static bool namesTheGoodTargetOnly(const SourceAnswer &answer)
    {
        int listed = 0;
        for (const DirectoryChange &change : answer.changes) {
            const auto *target = std::get_if<TargetListed>(&change);
            listed += target != nullptr ? 1 : 0;
            if (target != nullptr && target->target.name != QStringLiteral("i-good")) {
                return false;
            }
        }
        return answer.result == SourceResult::Read && listed == 1;
    }

    static TimePoint deadline()
    {
        return Clock::now() + 10s;
    }

    HttpServer m_server;

private:
    HttpResponse answer(const char *list, bool isRange)
    {
        const std::scoped_lock lock(m_mutex);
        const auto item = [](const QString &key, const QByteArray &value, int revision) {
            return QJsonObject{
                {QStringLiteral("key"), key}, {QStringLiteral("value"), QString::fromLatin1(value.toBase64())}, {QStringLiteral("revision"), revision}};
        };
        QJsonObject body{{QLatin1String(list), QJsonArray{item(m_oddKey, m_oddValue, 8), item(goodKey, entry(), 9)}}, {QStringLiteral("current-rev"), 10}};
        if (isRange) {
            body.insert(QStringLiteral("has-more"), false);
        }
        return {200, "application/json", QJsonDocument(body).toJson(QJsonDocument::Compact)};
    }

    std::mutex m_mutex;
    QString m_oddKey;
    QByteArray m_oddValue;
};

}

// Guards against a process that ends, or that no longer follows the store, because another writer has left one odd entry
// among those of the targets: deeply nested, with a number too large, or with an address or a port out of range.
TEST_F(StoreSourceTest, OddEntriesNameNoTargetAndStopNothing)
{
    StoreSource source(m_server.endpoints().front());
    for (const QByteArray &odd : oddEntries()) {
        setOddValue(odd);
        const QByteArray shown = odd.left(200);
        const SourceAnswer read = source.readAll(deadline());
        EXPECT_TRUE(namesTheGoodTargetOnly(read)) << shown.constData();
        EXPECT_FALSE(read.diagnostic.isEmpty()) << shown.constData();
        EXPECT_TRUE(namesTheGoodTargetOnly(source.watch(5, Clock::now() + 1s, deadline()))) << shown.constData();
        EXPECT_EQ(source.currentPosition(deadline()).position, 10);
        // Other processes get the changes in an encoded form.
        DirectoryImage image;
        image.apply({read.position, read.changes, true});
        const std::optional<DirectoryBatch> batch = decodeDirectoryBatch(Clock::now(), encodeDirectoryBatch(Clock::now(), image.since(0)));
        ASSERT_TRUE(batch) << shown.constData();
        TargetDirectory directory({});
        for (const DirectoryChange &change : batch->changes) {
            directory.apply(Clock::now(), change);
        }
        EXPECT_EQ(std::ranges::count_if(directory.entries(), [](const auto &item) { return item.second.isPresent(); }), 1) << shown.constData();
        EXPECT_NE(directory.findAt({0x0a800009, 8080}), nullptr) << shown.constData();
    }
}

// Guards against a target that stays in use under the values of an earlier entry after its entry has become odd.
TEST_F(StoreSourceTest, EntryThatBecomesOddNamesNoTarget)
{
    StoreSource source(m_server.endpoints().front());
    for (const QByteArray &odd : oddEntries()) {
        setOddValue(odd);
        const SourceAnswer read = source.watch(5, Clock::now() + 1s, deadline());
        const bool isUnlisted = std::ranges::any_of(read.changes, [](const DirectoryChange &change) {
            const auto *unlisted = std::get_if<TargetUnlisted>(&change);
            return unlisted != nullptr && unlisted->name == QStringLiteral("odd");
        });
        EXPECT_TRUE(isUnlisted) << odd.left(200).constData();
    }
}

// Guards against a full read that counts as having delivered the versions between the one before and its own.
TEST_F(StoreSourceTest, OnlyWatchesDeliverEveryVersion)
{
    StoreSource source(m_server.endpoints().front());
    setOddValue(R"({"version":7,"routes":[],"services":[{"name":"huvo11a"}],"limits":{}})", QStringLiteral("op/config"));
    const auto isGapless = [](const SourceAnswer &answer) {
        const auto isRoutes = [](const DirectoryChange &change) {
            return std::holds_alternative<RoutesPublished>(change);
        };
        const auto found = std::ranges::find_if(answer.changes, isRoutes);
        EXPECT_NE(found, answer.changes.end());
        return found != answer.changes.end() && std::get<RoutesPublished>(*found).isGapless;
    };
    EXPECT_FALSE(isGapless(source.readAll(deadline())));
    const SourceAnswer watched = source.watch(5, Clock::now() + 1s, deadline());
    EXPECT_TRUE(isGapless(watched));
    // A peer that is served from the image may have skipped versions.
    DirectoryImage image;
    image.apply({watched.position, watched.changes, true});
    const std::optional<DirectoryBatch> pulled = decodeDirectoryBatch(Clock::now(), encodeDirectoryBatch(Clock::now(), image.since(0)));
    ASSERT_TRUE(pulled);
    EXPECT_FALSE(isGapless({SourceResult::Read, pulled->position, pulled->changes, {}}));
}
