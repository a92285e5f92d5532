#include <configservice/httpclient.h>
#include <operators/httpserver.h>

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace Rattanpick;

namespace
{

const Endpoint anyPort{0x7f000001, 0};

TimePoint defaultDeadline()
{
    return Clock::now() + 5s;
}

/// A service whose connections are accepted by the operating system but never answered.
class SilentService
{
public:
    SilentService()
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(anyPort.address);
        socklen_t length = sizeof(address);
        ::bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), length);
        ::listen(m_descriptor, 8);
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    ~SilentService()
    {
        ::close(m_descriptor);
    }

    Endpoint endpoint() const
    {
        return {anyPort.address, m_port};
    }

private:
    int m_descriptor;
    quint16 m_port = 0;
};

}

// Guards against pages that are served on only one of the server's addresses, and against queries that do not reach the
// handler.
TEST(HttpClientTest, ReadsPagesOfAServer)
{
    HttpServer server({anyPort, anyPort});
    server.handle("/page", [](const QByteArray &query) { return HttpResponse{200, "text/plain", "query: " + query}; });
    ASSERT_TRUE(server.start()) << server.lastError().toStdString();
    HttpClient client(HttpClientSettings{});
    for (const Endpoint &endpoint : server.endpoints()) {
        const std::optional<HttpReply> reply = client.get(endpoint, "/page?after=7", defaultDeadline());
        ASSERT_TRUE(reply) << client.lastError().toStdString();
        EXPECT_EQ(reply->status, 200);
        EXPECT_EQ(reply->body, "query: after=7");
    }
    const std::optional<HttpReply> missing = client.get(server.endpoints().front(), "/other", defaultDeadline());
    ASSERT_TRUE(missing);
    EXPECT_EQ(missing->status, 404);
}

// Guards against a call that fails because the service has closed the idle connection that the client kept from an
// earlier call.
TEST(HttpClientTest, RepeatsACallOnAClosedConnection)
{
    auto server = std::make_unique<HttpServer>(std::vector{anyPort});
    server->handle("/page", [](const QByteArray &) { return HttpResponse{}; });
    ASSERT_TRUE(server->start());
    const Endpoint endpoint = server->endpoints().front();
    HttpClient client(HttpClientSettings{});
    EXPECT_TRUE(client.get(endpoint, "/page", defaultDeadline()));
    server.reset();
    server = std::make_unique<HttpServer>(std::vector{endpoint});
    server->handle("/page", [](const QByteArray &) { return HttpResponse{}; });
    ASSERT_TRUE(server->start()) << server->lastError().toStdString();
    EXPECT_TRUE(client.get(endpoint, "/page", defaultDeadline())) << client.lastError().toStdString();
}

// Guards against a client that waits indefinitely for a service that never responds.
TEST(HttpClientTest, GivesUpAtTheDeadline)
{
    const SilentService service;
    HttpClient client(HttpClientSettings{});
    const TimePoint begin = Clock::now();
    EXPECT_FALSE(client.get(service.endpoint(), "/page", begin + 200ms));
    EXPECT_GE(Clock::now() - begin, 200ms);
    EXPECT_FALSE(client.lastError().isEmpty());
}

// Guards against a watch that continues after an interruption, so that the process cannot read again, and against an
// interruption that ends the next call instead.
TEST(HttpClientTest, InterruptEndsTheCurrentCallOnly)
{
    const SilentService silent;
    HttpServer server({anyPort});
    server.handle("/page", [](const QByteArray &) { return HttpResponse{}; });
    ASSERT_TRUE(server.start());
    HttpClient client(HttpClientSettings{});
    std::atomic<bool> isDone = false;
    std::thread caller([&] {
        EXPECT_FALSE(client.get(silent.endpoint(), "/page", Clock::now() + 60s));
        isDone = true;
    });
    // Interruptions before the call has begun have no effect, so they are repeated until it ends.
    while (!isDone) {
        client.interrupt();
        std::this_thread::yield();
    }
    caller.join();
    client.interrupt();
    EXPECT_TRUE(client.get(server.endpoints().front(), "/page", defaultDeadline())) << client.lastError().toStdString();
    client.cancel();
    EXPECT_FALSE(client.get(server.endpoints().front(), "/page", defaultDeadline()));
}
