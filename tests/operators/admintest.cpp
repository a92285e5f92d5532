#include <operators/adminclient.h>
#include <operators/adminserver.h>

#include <QTcpServer>

#include <gtest/gtest.h>

#include <limits>
#include <string>

using namespace Rattanpick;

namespace
{

constexpr Endpoint anyPort{0x7f000003, 0};
constexpr quint64 largest = std::numeric_limits<quint64>::max();

AdminEvents someEvents(quint64 sinceLamport)
{
    return {{{EventNumber::FlowBroken, QStringLiteral("agent-1"), sinceLamport + 1, 17, QStringLiteral("udp a -> b"), 3, QStringLiteral("ö \"lost\"")}}, 5};
}

std::optional<QByteArray> deltaOf(const ConfigurationVersion &from)
{
    return from.number == 0 ? std::nullopt : std::optional(QByteArray("\0\xff", 2) + from.toString().toUtf8());
}

AdminHandlers someHandlers()
{
    AdminHandlers handlers;
    handlers.status = [] {
        return QJsonObject{{QStringLiteral("flows"), 9007199254740993LL}};
    };
    handlers.events = &someEvents;
    handlers.documentDelta = &deltaOf;
    return handlers;
}

}

// Guards against results that lose integer precision, binary data or non-ASCII characters in transfer.
TEST(AdminTest, AnswersArriveUnchanged)
{
    AdminServer server(anyPort, someHandlers());
    ASSERT_TRUE(server.start()) << server.lastError().toStdString();
    AdminClient client({server.endpoint()});
    const std::optional<QJsonObject> status = client.status();
    ASSERT_TRUE(status.has_value()) << client.lastError().toStdString();
    EXPECT_EQ(status->value(QLatin1String("flows")).toInteger(), 9007199254740993LL);
    EXPECT_EQ(client.events(41), someEvents(41));
    const ConfigurationVersion version{largest, largest};
    EXPECT_EQ(client.documentDelta(version), deltaOf(version));
    EXPECT_TRUE(client.lastError().isEmpty());
}

// Guards against errors that reach the client as empty results.
TEST(AdminTest, ErrorsHaveAReason)
{
    AdminServer server(anyPort, someHandlers());
    ASSERT_TRUE(server.start()) << server.lastError().toStdString();
    AdminClient client({server.endpoint()});
    EXPECT_FALSE(client.documentDelta({}).has_value());
    EXPECT_TRUE(client.lastError().contains(QStringLiteral("no document is in force"))) << client.lastError().toStdString();
    EXPECT_FALSE(client.metrics().has_value());
    EXPECT_TRUE(client.lastError().contains(QStringLiteral("does not offer"))) << client.lastError().toStdString();
    server.stop();
    EXPECT_FALSE(client.status().has_value());
    EXPECT_FALSE(client.lastError().isEmpty());
}

// Guards against a client that waits indefinitely for a process that accepts connections but never replies.
TEST(AdminTest, CallsEndWithTheirTimeout)
{
    QTcpServer silent;
    ASSERT_TRUE(silent.listen(QHostAddress(anyPort.address)));
    AdminClient client({{anyPort.address, silent.serverPort()}, std::chrono::milliseconds(50)});
    EXPECT_FALSE(client.status().has_value());
    EXPECT_FALSE(client.lastError().isEmpty());
}

// Guards against an interface that is reachable on addresses other than the one in the settings.
TEST(AdminTest, ListensAtItsAddressOnly)
{
    AdminServer server(anyPort, someHandlers());
    ASSERT_TRUE(server.start()) << server.lastError().toStdString();
    const Endpoint other{0x7f000004, server.endpoint().port};
    EXPECT_FALSE(AdminClient({other}).status().has_value());
    AdminServer neighbour(other, someHandlers());
    EXPECT_TRUE(neighbour.start()) << neighbour.lastError().toStdString();
    AdminServer same(server.endpoint(), someHandlers());
    EXPECT_FALSE(same.start());
    EXPECT_FALSE(same.lastError().isEmpty());
    EXPECT_FALSE(AdminServer({0, 0}, someHandlers()).start());
}
