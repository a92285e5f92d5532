#include <configservice/documentsplitter.h>
#include <configservice/instancelistcodec.h>
#include <configservice/platformclient.h>
#include <standins/platformstandin.h>

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QDir>
#include <QSaveFile>
#include <QTemporaryDir>

#include <thread>

using namespace Rattanpick;

namespace
{

/// Provides a platform stand-in on the loopback interface. It reads its files only on poll().
class PlatformClientTest : public testing::Test
{
protected:
    PlatformClientTest()
    {
        if (QCoreApplication::instance() == nullptr) {
            static int argc = 1;
            static char name[] = "test_platform";
            static char *argv[] = {name, nullptr};
            static QCoreApplication application(argc, argv);
        }
        QDir(m_directory.path()).mkdir(QStringLiteral("values"));
    }

    void write(const QString &name, const QByteArray &text)
    {
        // Replaced atomically, since the stand-in polls in another thread and must not read a partial value.
        QSaveFile file(m_directory.filePath(name));
        ASSERT_TRUE(file.open(QIODevice::WriteOnly));
        file.write(text);
        ASSERT_TRUE(file.commit());
        if (m_standIn) {
            m_standIn->poll();
        }
    }

    PlatformStandIn &startStandIn(int callsPerSecond = 2000, Duration watchTime = 30s)
    {
        m_standIn = std::make_unique<PlatformStandIn>(
            PlatformStandInSettings{.directory = m_directory.path(), .callsPerSecond = callsPerSecond, .watchTime = watchTime, .pollInterval = 1h});
        EXPECT_TRUE(m_standIn->start()) << m_standIn->lastError().toStdString();
        return *m_standIn;
    }

    PlatformClientSettings settings(Duration timeout = 10s) const
    {
        return {.endpoints = {m_standIn->endpoint()}, .caller = QStringLiteral("node-1"), .timeout = timeout, .partTimeout = timeout};
    }

    QTemporaryDir m_directory;
    std::unique_ptr<PlatformStandIn> m_standIn;
};

const QString documentFile = QStringLiteral("values/document");

}

// Guards against a watch that misses a change, or that ends without the new value.
TEST_F(PlatformClientTest, WatchEndsAtAChange)
{
    write(documentFile, "one");
    startStandIn();
    PlatformClient client(settings());
    const auto first = client.document(0);
    ASSERT_TRUE(first) << client.lastError().toStdString();
    EXPECT_EQ(first->value, "one");
    std::thread editor([this] { write(documentFile, "two"); });
    const auto second = client.document(first->revision);
    editor.join();
    ASSERT_TRUE(second) << client.lastError().toStdString();
    EXPECT_EQ(second->value, "two");
    EXPECT_GT(second->revision, first->revision);
}

// Guards against a watch that times out without a change and is treated as a failure or as an empty document.
TEST_F(PlatformClientTest, WatchEndsUnchanged)
{
    write(documentFile, "one");
    startStandIn(2000, 20ms);
    PlatformClient client(settings());
    const auto first = client.document(0);
    ASSERT_TRUE(first);
    const auto second = client.document(first->revision);
    ASSERT_TRUE(second) << client.lastError().toStdString();
    EXPECT_FALSE(second->isChanged);
    EXPECT_EQ(second->revision, first->revision);
}

// Guards against a document larger than one value (1 MB) that is read incompletely, or accepted although a part is
// corrupted.
TEST_F(PlatformClientTest, ReadsADocumentInParts)
{
    const QByteArray text(2'500'000, 'x');
    const SplitDocument split = splitDocument(text, 3);
    for (const auto &[name, value] : split.parts) {
        write(QStringLiteral("values/") + name, value);
    }
    write(documentFile, split.value);
    startStandIn();
    PlatformClient client(settings());
    const auto answer = client.document(0);
    ASSERT_TRUE(answer) << client.lastError().toStdString();
    EXPECT_EQ(answer->value, text);
    write(QStringLiteral("values/") + split.parts.begin()->first, "damaged");
    EXPECT_FALSE(client.document(0));
    EXPECT_TRUE(client.lastError().contains(QLatin1String("digest"))) << client.lastError().toStdString();
}

// Guards against a value above the size limit that is served instead of the previous value.
TEST_F(PlatformClientTest, LargeValueKeepsTheEarlierOne)
{
    write(documentFile, "one");
    startStandIn();
    write(documentFile, QByteArray(maximumValueBytes + 1, 'x'));
    PlatformClient client(settings());
    EXPECT_EQ(client.document(0)->value, "one");
}

// Guards against an instance list that differs from the list in the operator's file when a client reads it.
TEST_F(PlatformClientTest, ReadsInstances)
{
    const InstanceList instances{{QStringLiteral("a"), InstanceRole::Agent, QStringLiteral("d"), {1, 1}, {1, 2}, TargetId{3}, false}};
    write(QStringLiteral("instances.json"), InstanceListCodec::toJson(instances));
    startStandIn();
    PlatformClient client(settings());
    const auto answer = client.instances(0);
    ASSERT_TRUE(answer) << client.lastError().toStdString();
    EXPECT_EQ(answer->instances, instances);
}

// Guards against a call that hangs when the platform does not respond, or that still fails once it responds again.
TEST_F(PlatformClientTest, SilentPlatformTimesOut)
{
    write(documentFile, "one");
    PlatformStandIn &standIn = startStandIn();
    standIn.setControl({.answers = false});
    PlatformClient client(settings(100ms));
    EXPECT_FALSE(client.document(0));
    EXPECT_FALSE(client.lastError().isEmpty());
    standIn.setControl({});
    PlatformClient secondClient(settings());
    EXPECT_TRUE(secondClient.document(0)) << secondClient.lastError().toStdString();
}

// Guards against a client that uses only one endpoint and does not try the next one when it fails.
TEST_F(PlatformClientTest, TriesEndpointsInTurn)
{
    write(documentFile, "one");
    startStandIn();
    PlatformClientSettings twoEndpoints = settings();
    twoEndpoints.endpoints.prepend({0x7f000001, 1});
    PlatformClient client(twoEndpoints);
    EXPECT_TRUE(client.document(0)) << client.lastError().toStdString();
}

// Guards against a control file that cannot make the stand-in serve stale values or cut off selected callers only.
TEST_F(PlatformClientTest, ControlFileMakesFaults)
{
    write(documentFile, "one");
    startStandIn();
    write(QStringLiteral("control"), "stale = yes\n");
    write(documentFile, "two");
    PlatformClient client(settings(200ms));
    EXPECT_EQ(client.document(0)->value, "one");
    write(QStringLiteral("control"), "cut-off = other, node-1\n");
    EXPECT_FALSE(client.document(0));
    PlatformClientSettings another = settings();
    another.caller = QStringLiteral("node-2");
    PlatformClient otherClient(another);
    EXPECT_EQ(otherClient.document(0)->value, "two");
}

// Guards against a stand-in that hides a thundering herd from the tests: calls above its rate limit must fail and be
// counted.
TEST_F(PlatformClientTest, EnforcesTheLimitOfCalls)
{
    write(documentFile, "one");
    const PlatformStandIn &standIn = startStandIn(5);
    PlatformClient client(settings());
    int answered = 0;
    for (int call = 0; call < 20; ++call) {
        answered += client.document(0) ? 1 : 0;
    }
    // The calls take far less than a second, so at most a few calls of a second time window are accepted.
    EXPECT_LE(answered, 10);
    EXPECT_GE(standIn.statistics().refusedCalls, 10U);
}

// Guards against a process that cannot stop because cancelling does not end a waiting watch.
TEST_F(PlatformClientTest, CancelEndsAWatch)
{
    write(documentFile, "one");
    startStandIn();
    PlatformClient client(settings());
    const auto first = client.document(0);
    ASSERT_TRUE(first);
    std::thread stopper([&client] { client.cancel(); });
    EXPECT_FALSE(client.document(first->revision));
    stopper.join();
    EXPECT_FALSE(client.document(0));
}
