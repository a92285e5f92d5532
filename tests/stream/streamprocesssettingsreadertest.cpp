#include <stream/settingsreload.h>
#include <stream/streamprocesssettingsreader.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

const QByteArray agentText = "[process]\n"
                             "name = side-1\n"
                             "role = agent\n"
                             "data-centre = escale\n"
                             "stop-grace-seconds = 6\n"
                             "[listen]\n"
                             "callers = 10.1.0.12:8172\n"
                             "outbound = 10.1.0.12:8162\n"
                             "messages = 10.1.0.12:7720\n"
                             "ready = 10.1.0.12:8167\n"
                             "metrics = 10.1.0.12:9464\n"
                             "spread = 10.1.0.12:7721\n"
                             "[directory]\n"
                             "store = 10.200.1.7:8169\n"
                             "seeds = 10.1.0.10:8166,10.2.0.40:8166\n"
                             "[flows]\n"
                             "maximum-age-seconds = 60\n"
                             "[target]\n"
                             "address = 10.1.0.12:8165\n"
                             "service = huvo11a\n"
                             "cold-factor = 1.5\n"
                             "cold-slack = 5\n";

}

// Guards against settings that are read into the wrong member.
TEST(StreamProcessSettingsReaderTest, ReadsAnAgent)
{
    StreamProcessSettingsReader reader(QStringLiteral("agent.ini"));
    const std::optional<StreamProcessSettings> settings = reader.read(agentText);
    ASSERT_TRUE(settings) << reader.findings().first().toString().toStdString();
    EXPECT_EQ(settings->role, DaemonRole::Agent);
    EXPECT_EQ(settings->callers.port, 8172);
    EXPECT_EQ(settings->outbound.port, 8162);
    EXPECT_EQ(settings->messages.port, 7720);
    EXPECT_EQ(settings->spread.port, 7721);
    EXPECT_EQ(settings->seeds.size(), 2);
    EXPECT_EQ(settings->target.port, 8165);
    EXPECT_EQ(settings->coldFactor, 1.5);
    EXPECT_EQ(settings->coldSlack, 5);
    EXPECT_EQ(settings->stopGrace, 6s);
    EXPECT_TRUE(settings->control.isNull());
    EXPECT_FALSE(settings->isInitialStart);
}

// Guards against a process that takes its start for the first one of the fleet, and against a value that is ignored.
TEST(StreamProcessSettingsReaderTest, InitialStartIsTrueOrFalse)
{
    StreamProcessSettingsReader reader(QStringLiteral("agent.ini"));
    QByteArray text = agentText;
    text.replace("[listen]\n", "initial-start = true\n[listen]\n");
    const std::optional<StreamProcessSettings> settings = reader.read(text);
    ASSERT_TRUE(settings);
    EXPECT_TRUE(settings->isInitialStart);
    text.replace("= true", "= yes");
    EXPECT_FALSE(reader.read(text));
    EXPECT_EQ(reader.findings().size(), 1);
}

// Guards against a process behind address translation that cannot bind its sockets, and against an invalid address that
// is ignored.
TEST(StreamProcessSettingsReaderTest, SocketsForOtherProcessesAreBoundWhereTheSettingsSay)
{
    QByteArray text = agentText;
    text.replace("[listen]\n", "[listen]\nbind-address = 192.168.7.9\n");
    StreamProcessSettingsReader reader(QStringLiteral("agent.ini"));
    const std::optional<StreamProcessSettings> settings = reader.read(text);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->boundAt(settings->messages), *Endpoint::fromString(QStringLiteral("192.168.7.9:7720")));
    EXPECT_EQ(settings->messages, *Endpoint::fromString(QStringLiteral("10.1.0.12:7720")));
    text.replace("192.168.7.9", "192.168.7");
    EXPECT_FALSE(reader.read(text));
    ASSERT_EQ(reader.findings().size(), 1);
    EXPECT_EQ(reader.findings().first().location.line, 7);
}

// Guards against a missing section or key that changes decisions, and against a wrong value that is ignored or reported at another place.
TEST(StreamProcessSettingsReaderTest, BalancingIsOffUnlessSetAndIsChecked)
{
    StreamProcessSettingsReader reader(QStringLiteral("agent.ini"));
    const QByteArray text = agentText + "[balancing]\n";
    EXPECT_EQ(reader.read(agentText).value().balancing, BalancingSettings{});
    EXPECT_EQ(reader.read(text + "two-choices = true\n").value().balancing, (BalancingSettings{true, false, false, 0}));
    EXPECT_EQ(reader.read(text + "probation = true\n").value().balancing, (BalancingSettings{false, true, false, 0}));
    EXPECT_EQ(reader.read(text + "objective-order = true\nminimum-share-percent = 50").value().balancing, (BalancingSettings{false, false, true, 50}));
    // The share is also a finding if it has no effect.
    for (const char *line : {"two-choices = yes", "probation = 1", "objective-order =", "minimum-share-percent = 51", "minimum-share-percent = 10"}) {
        EXPECT_FALSE(reader.read(text + line)) << line;
        ASSERT_EQ(reader.findings().size(), 1) << line;
        EXPECT_EQ(reader.findings().first().location.line, text.count('\n') + 1) << line;
        EXPECT_FALSE(reader.findings().first().allowed.isEmpty()) << line;
    }
}

// Guards against a reader that stops at the first error, or that reports no location.
TEST(StreamProcessSettingsReaderTest, ReportsEveryFaultWithItsPlace)
{
    QByteArray text = agentText;
    text.replace("callers = 10.1.0.12:8172\n", "");
    text.replace("store = 10.200.1.7:8169", "store = nowhere");
    text.replace("cold-factor = 1.5", "cold-factor = much");
    text.append("[extra]\n");
    StreamProcessSettingsReader reader(QStringLiteral("agent.ini"));
    EXPECT_FALSE(reader.read(text));
    ASSERT_EQ(reader.findings().size(), 4);
    for (const Finding &finding : reader.findings()) {
        EXPECT_EQ(finding.location.file, QStringLiteral("agent.ini"));
        EXPECT_GT(finding.location.line, 0);
        EXPECT_FALSE(finding.allowed.isEmpty());
    }
}

// Guards against keys of one role that are silently accepted for the other.
TEST(StreamProcessSettingsReaderTest, BalancersHaveNoTarget)
{
    QByteArray text = agentText;
    text.replace("role = agent", "role = balancer");
    StreamProcessSettingsReader reader(QStringLiteral("balancer.ini"));
    EXPECT_FALSE(reader.read(text));
    // [target] and "outbound" are unknown, "control" is missing.
    EXPECT_EQ(reader.findings().size(), 3);
}

// Guards against invalid settings that stop or change a running process, and against findings that are repeated at each
// check of the file.
TEST(SettingsReloadTest, FilesWithFindingsChangeNothing)
{
    SettingsReload reload(QStringLiteral("agent.ini"), *StreamProcessSettingsReader({}).read(agentText), agentText);
    EXPECT_FALSE(reload.offer(agentText));
    QByteArray bad = agentText;
    bad.replace("role = agent", "role = king");
    EXPECT_FALSE(reload.offer(bad));
    EXPECT_FALSE(reload.findings().isEmpty());
    EXPECT_FALSE(reload.offer(bad));
    EXPECT_TRUE(reload.findings().isEmpty());
    EXPECT_FALSE(reload.offer("").has_value());
    EXPECT_TRUE(reload.offer(agentText).has_value());
}

// Guards against a changed address that is reported as applied although the sockets are bound to the old one.
TEST(SettingsReloadTest, ReportsAppliedAndPendingValues)
{
    SettingsReload reload(QStringLiteral("agent.ini"), *StreamProcessSettingsReader({}).read(agentText), agentText);
    QByteArray changed = agentText;
    changed.replace("10.2.0.40:8166", "10.2.0.41:8166");
    changed.replace("10.1.0.12:7720", "10.1.0.12:7730");
    const std::optional<ReloadedSettings> reloaded = reload.offer(changed);
    ASSERT_TRUE(reloaded);
    EXPECT_EQ(reloaded->applied, QStringList{QStringLiteral("seeds")});
    EXPECT_EQ(reloaded->pendingRestart, QStringList{QStringLiteral("messages")});
    EXPECT_EQ(reloaded->settings.messages.port, 7720);
    EXPECT_EQ(reloaded->settings.seeds.last().address, 0x0a020029);
}

// Guards against a reload that defers the decisions to the next start, and against a file with findings that switches them off.
TEST(SettingsReloadTest, AppliesBalancingAtOnce)
{
    SettingsReload reload(QStringLiteral("agent.ini"), *StreamProcessSettingsReader({}).read(agentText), agentText);
    const QByteArray on = agentText + "[balancing]\nprobation = true\n";
    EXPECT_EQ(reload.offer(on).value().applied, QStringList{QStringLiteral("balancing")});
    EXPECT_FALSE(reload.offer(agentText + "[balancing]\nprobation = maybe\n"));
    EXPECT_TRUE(reload.offer(on + '\n').value().settings.balancing.usesProbation);
    EXPECT_FALSE(reload.offer(agentText).value().settings.balancing.usesProbation);
}
