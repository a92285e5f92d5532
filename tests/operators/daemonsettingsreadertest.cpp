#include <operators/daemonsettingsreader.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

const QByteArray commonText = "[daemon]\n"
                              "name = node-1\n"
                              "data-centre = north\n"
                              "tunnel = 127.0.0.1:6000\n"
                              "admin = 127.0.0.1:6000\n"
                              "fleet-key = 000102030405060708090a0b0c0d0e0F\n"
                              "platform = 127.0.0.9:8000, 127.0.0.9:8001\n";
const QByteArray agentText = commonText + "role = agent\ntarget = desk-1\ntarget-link = 127.0.0.1:9000\nlink = 127.0.0.1:9001\n";
const QByteArray balancerText = commonText + "role = balancer\nfabric = 127.0.0.1:5000\n";

struct Mistake
{
    QByteArray text;
    const char *before;
    const char *after;
    QList<int> lines;
    const char *problem;
};

}

// Guards against a key that is read into the wrong member, and against defaults that differ from the design
// documentation.
TEST(DaemonSettingsReaderTest, ReadsAgentSettings)
{
    DaemonSettingsReader reader(QStringLiteral("a.ini"));
    const std::optional<DaemonSettings> settings = reader.read(agentText);
    ASSERT_TRUE(settings.has_value()) << reader.findings().first().toString().toStdString();
    DaemonSettings expected;
    expected.name = QStringLiteral("node-1");
    expected.role = DaemonRole::Agent;
    expected.dataCentre = QStringLiteral("north");
    expected.tunnel = {0x7f000001, 6000};
    expected.admin = {0x7f000001, 6000};
    expected.fleetKey = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15};
    expected.platform = {{0x7f000009, 8000}, {0x7f000009, 8001}};
    expected.target = QStringLiteral("desk-1");
    expected.targetLink = {0x7f000001, 9000};
    expected.link = {0x7f000001, 9001};
    EXPECT_EQ(*settings, expected);
}

// Guards against optional keys that are ignored.
TEST(DaemonSettingsReaderTest, ReadsBalancerSettings)
{
    const QByteArray options = "seed-peers = 127.0.0.2:6000 127.0.0.3:6000\nlog-level = debug\nevents-kept = 500\nstop-limit-seconds = 5\n";
    const std::optional<DaemonSettings> settings = DaemonSettingsReader(QStringLiteral("b.ini")).read(balancerText + options);
    ASSERT_TRUE(settings.has_value());
    EXPECT_EQ(settings->role, DaemonRole::Balancer);
    EXPECT_EQ(settings->fabric, (Endpoint{0x7f000001, 5000}));
    EXPECT_EQ(settings->seedPeers, (QList<Endpoint>{{0x7f000002, 6000}, {0x7f000003, 6000}}));
    EXPECT_EQ(settings->logLevel, EventLevel::Debug);
    EXPECT_EQ(settings->eventsKept, 500U);
    EXPECT_EQ(settings->stopLimitSeconds, 5);
}

// Guards against a daemon that starts with invalid settings, and against a mistake that is reported more than once.
TEST(DaemonSettingsReaderTest, ReportsEachMistakeOnce)
{
    const Mistake mistakes[] = {
        {agentText, "[daemon]", "[demon]", {0, 1}, "missing"},
        {agentText, "name = node-1", "name = node 1", {2}, "no name"},
        {agentText, "name = node-1\n", "", {1}, "\"name\" is missing"},
        {agentText, "role = agent", "role = client", {8}, "unknown value"},
        {agentText, "tunnel = 127.0.0.1:6000", "tunnel = localhost:6000", {4}, "no address and port"},
        {agentText, "fleet-key = 00", "fleet-key = 0", {6}, "no key"},
        {agentText, "127.0.0.9:8001", "127.0.0.9:8000", {7}, "twice"},
        {agentText, "platform = 127.0.0.9:8000, 127.0.0.9:8001", "platform =", {7}, "no value"},
        {agentText, "link = 127.0.0.1:9001", "link = 127.0.0.1:9000", {11}, "the same address"},
        {agentText, "target = desk-1\n", "", {1}, "\"target\" is missing"},
        {agentText, "target = desk-1", "target = desk-1\nfabric = 127.0.0.1:5000", {10}, "unknown key"},
        {balancerText, "fabric", "target = a\nfabric", {9}, "unknown key"},
        {balancerText, "fabric = 127.0.0.1:5000", "", {1}, "\"fabric\" is missing"},
        {balancerText, "role = balancer", "role = balancer\nevents-kept = 5", {9}, "out of range"},
        {balancerText, "role = balancer", "role = balancer\nlog-level = loud", {9}, "unknown value"},
    };
    for (const Mistake &mistake : mistakes) {
        QByteArray text = mistake.text;
        ASSERT_TRUE(text.contains(mistake.before));
        text.replace(mistake.before, mistake.after);
        DaemonSettingsReader reader(QStringLiteral("a.ini"));
        EXPECT_FALSE(reader.read(text).has_value()) << mistake.after;
        QList<int> lines;
        for (const Finding &finding : reader.findings()) {
            lines.append(finding.location.line);
        }
        EXPECT_EQ(lines, mistake.lines) << mistake.after;
        EXPECT_TRUE(reader.findings().first().problem.contains(QString::fromUtf8(mistake.problem))) << mistake.after;
    }
}

// Guards against a finding that contains the fleet key, which would disclose it because findings are logged.
TEST(DaemonSettingsReaderTest, FindingsHideTheFleetKey)
{
    QByteArray text = agentText;
    text.replace("fleet-key = 0001", "fleet-key = secret");
    DaemonSettingsReader reader(QStringLiteral("a.ini"));
    EXPECT_FALSE(reader.read(text).has_value());
    ASSERT_EQ(reader.findings().size(), 1);
    EXPECT_FALSE(reader.findings().first().toString().contains(QStringLiteral("secret")));
}
