#include <platform/storedecoder.h>

#include <QJsonArray>
#include <QJsonDocument>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

const TimePoint now = TimePoint{} + 1h;

const char *const targetEntry = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"escale","version":"v1","slots":2,"state":"ready",)"
                                R"("warmup-left-ms":500,"seq":4,"born":1774064754312})";

QJsonObject item(const QString &key, const QByteArray &value, qint64 revision = 7)
{
    return {{QStringLiteral("key"), key}, {QStringLiteral("value"), QString::fromLatin1(value.toBase64())}, {QStringLiteral("revision"), revision}};
}

std::vector<DirectoryChange> decode(StoreDecoder &decoder, const QJsonObject &object)
{
    std::vector<DirectoryChange> changes;
    decoder.decode(now, 0, object, changes);
    return changes;
}

/// The target entry with one field replaced by JSON text, or removed if the text is empty.
QByteArray entryWith(const QString &field, const QByteArray &json)
{
    QJsonObject object = QJsonDocument::fromJson(targetEntry).object();
    object.remove(field);
    if (!json.isEmpty()) {
        object.insert(field, QJsonDocument::fromJson('[' + json + ']').array().first());
    }
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

}

// Guards against fields of a target entry that are decoded wrongly.
TEST(StoreDecoderTest, ReadsTargets)
{
    StoreDecoder decoder;
    const auto changes = decode(decoder, item(QStringLiteral("servers/i-7f3a91c2"), targetEntry));
    ASSERT_EQ(changes.size(), 1);
    const auto &listed = std::get<TargetListed>(changes.front());
    EXPECT_EQ(listed.position, 7);
    EXPECT_EQ(listed.target.name, QStringLiteral("i-7f3a91c2"));
    EXPECT_EQ(listed.target.service, serviceIdOf("huvo11a"));
    EXPECT_EQ(listed.target.address, (Endpoint{0x0a800009, 8080}));
    EXPECT_EQ(listed.target.dataCentre, QStringLiteral("escale"));
    EXPECT_EQ(listed.target.slotCount, 2);
    EXPECT_FALSE(listed.target.isDraining);
    EXPECT_EQ(listed.target.coldDeadline, now + 500ms);
    EXPECT_TRUE(decoder.takeFindings().isEmpty());
}

// Guards against a restarted target of the same name that gets the incarnation of the earlier process.
TEST(StoreDecoderTest, AnotherStartIsAnotherIncarnation)
{
    StoreDecoder decoder;
    const QString key = QStringLiteral("servers/i-1");
    const auto first = decode(decoder, item(key, targetEntry));
    const auto second = decode(decoder, item(key, entryWith(QStringLiteral("born"), "1774064754313")));
    EXPECT_NE(std::get<TargetListed>(first.front()).target.incarnation, std::get<TargetListed>(second.front()).target.incarnation);
    EXPECT_EQ(std::get<TargetListed>(first.front()).target.id, std::get<TargetListed>(second.front()).target.id);
}

// Guards against an invalid entry that stops the process, or that leaves its target in use.
TEST(StoreDecoderTest, UnusableEntriesNameNoTarget)
{
    const std::pair<const char *, QByteArray> faults[] = {
        {"service", ""},
        {"service", "7"},
        {"address", "\"10.0.0.1\""},
        {"address", "\"host:80\""},
        {"zone", "null"},
        {"slots", "\"2\""},
        {"slots", "-1"},
        {"state", "\"lost\""},
        {"state", "1"},
        {"warmup-left-ms", "\"0\""},
        {"warmup-left-ms", "true"},
        {"seq", "[]"},
        {"seq", ""},
        {"version", "{}"},
        {"born", ""},
        {"born", "null"},
        {"born", "-1"},
        {"born", "\"now\""},
        {"born", "1.5"},
    };
    StoreDecoder decoder;
    for (const auto &[field, json] : faults) {
        const auto changes = decode(decoder, item(QStringLiteral("servers/i-1"), entryWith(QLatin1String(field), json)));
        ASSERT_EQ(changes.size(), 1) << field << ' ' << json.constData();
        EXPECT_TRUE(std::holds_alternative<TargetUnlisted>(changes.front())) << field << ' ' << json.constData();
        const Findings findings = decoder.takeFindings();
        ASSERT_EQ(findings.size(), 1) << field << ' ' << json.constData();
        EXPECT_EQ(findings.first().location.file, QStringLiteral("servers/i-1"));
    }
}

// Guards against a crash on bytes that are not JSON, or not a JSON object.
RC_GTEST_PROP(StoreDecoderTest, AnyBytesAreSkipped, (const std::vector<quint8> &bytes))
{
    StoreDecoder decoder;
    const QByteArray value(reinterpret_cast<const char *>(bytes.data()), static_cast<qsizetype>(bytes.size()));
    for (const char *key : {"servers/i-1", "op/config"}) {
        for (const DirectoryChange &change : decode(decoder, item(QLatin1String(key), value))) {
            RC_ASSERT(std::holds_alternative<TargetUnlisted>(change));
        }
    }
}

// Guards against wrongly decoded routes: splits, priorities, timeouts, addresses that cannot be used.
TEST(StoreDecoderTest, ReadsTheConfiguration)
{
    StoreDecoder decoder;
    const QByteArray configuration =
        R"({"version":7,"routes":[)"
        R"({"name":"a","hostname":"198.18.0.1","prefix":"/8443/","type":"safe","timeout-ms":500,"objective-ms":100,"priority":2,)"
        R"("backends":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"max-attempts":2},)"
        R"({"name":"b","hostname":"198.18.0.2","prefix":"/80/","type":"unsafe","timeout-ms":600,"objective-ms":100,"priority":1,"service":"wuno96b"}],)"
        R"("services":[{"name":"huvo11a","health-path":"/health","max-conns":2000,"warmup-s":2.5,"warmup-per-s":4.5}],)"
        R"("limits":{"idle-timeout-ms":15000}})";
    const auto changes = decode(decoder, item(QStringLiteral("op/config"), configuration));
    ASSERT_EQ(changes.size(), 1);
    const RouteTable &table = *std::get<RoutesPublished>(changes.front()).routes;
    EXPECT_EQ(table.version(), 7);
    EXPECT_EQ(table.idleTimeout(), 15s);
    EXPECT_EQ(table.routeCount(), 2);
    const Route *split = table.findRoute({0xc6120001, 8443});
    ASSERT_NE(split, nullptr);
    EXPECT_EQ(split->shares, (std::vector<ServiceShare>{{serviceIdOf("huvo11a"), 90}, {serviceIdOf("wuno96b"), 10}}));
    EXPECT_EQ(split->priority, 2);
    EXPECT_EQ(split->timeout, 500ms);
    EXPECT_EQ(split->objective, 100ms);
    EXPECT_TRUE(table.allows({0xc6120002, 80}, serviceIdOf("wuno96b")));
    EXPECT_FALSE(table.allows({0xc6120002, 80}, serviceIdOf("huvo11a")));
    EXPECT_EQ(table.findService(serviceIdOf("huvo11a"))->coldRequestsPerSecond, 4.5);
    EXPECT_EQ(table.findService(serviceIdOf("huvo11a"))->coldTime, 2500ms);
    EXPECT_TRUE(decoder.takeFindings().isEmpty());
}

// Guards against a configuration that comes into force without its invalid routes, so that their open flows are reset, and against
// findings without their places.
TEST(StoreDecoderTest, InvalidConfigurationsAreRefusedAsAWhole)
{
    const QByteArray valid = R"({"hostname":"198.18.0.1","prefix":"/80/","service":"a"})";
    const QByteArray faults[] = {
        R"({"hostname":"nowhere","prefix":"/80/","service":"a"})",
        R"({"hostname":"198.18.0.3","prefix":"/80/"})",
        R"({"hostname":"198.18.0.3","prefix":"/80/","service":"a","backends":[{"service":"a","weight":1}]})",
        R"({"hostname":"198.18.0.3","prefix":"/80/","backends":[]})",
        R"({"hostname":"198.18.0.3","prefix":"/80/","backends":[{"service":"a","weight":0},{"service":"b","weight":0}]})",
        R"({"hostname":"198.18.0.3","prefix":"/80/","backends":[{"service":"a","weight":1},{"service":"b","weight":-1}]})",
        R"({"hostname":"198.18.0.3","prefix":"/80/","backends":[{"service":"a","weight":1},{"service":"b","weight":"2"}]})",
        R"({"hostname":"198.18.0.3","prefix":"/80/","backends":[{"weight":1}]})",
        R"(7)",
    };
    StoreDecoder decoder;
    for (const QByteArray &fault : faults) {
        const QByteArray configuration = R"({"version":7,"routes":[)" + valid + ',' + fault + ',' + fault + "]}";
        EXPECT_TRUE(decode(decoder, item(QStringLiteral("op/config"), configuration)).empty()) << fault.constData();
        const Findings findings = decoder.takeFindings();
        ASSERT_EQ(findings.size(), 2) << fault.constData();
        EXPECT_EQ(findings.first().location.file, QStringLiteral("op/config routes[1]"));
        EXPECT_EQ(findings.last().location.file, QStringLiteral("op/config routes[2]"));
    }
}

// Guards against an odd objective that makes the configuration invalid or overflows.
TEST(StoreDecoderTest, OddObjectivesAreUnknownOrLimited)
{
    StoreDecoder decoder;
    for (const auto &[json, objective] : {std::pair{"\"100\"", 0h}, {"true", 0h}, {"null", 0h}, {"[100]", 0h}, {"-5", 0h}, {"1e300", 1h}}) {
        const QByteArray text = R"({"version":7,"routes":[{"hostname":"198.18.0.1","prefix":"/80/","service":"a","objective-ms":%}]})";
        const auto changes = decode(decoder, item(QStringLiteral("op/config"), QByteArray(text).replace('%', json)));
        ASSERT_EQ(changes.size(), 1) << json;
        EXPECT_EQ(std::get<RoutesPublished>(changes.front()).routes->findRoute({0xc6120001, 80})->objective, objective) << json;
    }
}

// Guards against the refusal of what the operators may write: a service that has no target yet, and one that gets no flows.
TEST(StoreDecoderTest, RoutesToServicesWithoutTargetsAreAccepted)
{
    StoreDecoder decoder;
    const auto changes = decode(decoder,
                                item(QStringLiteral("op/config"),
                                     R"({"version":7,"routes":[{"hostname":"198.18.0.1","prefix":"/80/",)"
                                     R"("backends":[{"service":"new","weight":1},{"service":"old","weight":0}]}],"services":[]})"));
    ASSERT_EQ(changes.size(), 1);
    const RouteTable &table = *std::get<RoutesPublished>(changes.front()).routes;
    EXPECT_TRUE(table.allows({0xc6120001, 80}, serviceIdOf("new")));
    EXPECT_FALSE(table.allows({0xc6120001, 80}, serviceIdOf("old")));
    EXPECT_TRUE(decoder.takeFindings().isEmpty());
}

// Guards against a data centre that the wrong event switches out or in, and against decoding keys of other systems.
TEST(StoreDecoderTest, ReadsDataCentresAndRemovals)
{
    StoreDecoder decoder;
    const auto out = decode(decoder, item(QStringLiteral("op/evacuate/escale"), "{}"));
    EXPECT_EQ(std::get<DataCentreSwitched>(out.front()), (DataCentreSwitched{7, QStringLiteral("escale"), true}));
    QJsonObject removal{{QStringLiteral("key"), QStringLiteral("op/evacuate/escale")}, {QStringLiteral("revision"), 9}, {QStringLiteral("removed"), true}};
    EXPECT_EQ(std::get<DataCentreSwitched>(decode(decoder, removal).front()), (DataCentreSwitched{9, QStringLiteral("escale"), false}));
    removal.insert(QStringLiteral("key"), QStringLiteral("servers/i-1"));
    EXPECT_EQ(std::get<TargetUnlisted>(decode(decoder, removal).front()), (TargetUnlisted{9, QStringLiteral("i-1")}));
    EXPECT_TRUE(decode(decoder, item(QStringLiteral("my/leader"), "node-1")).empty());
}
