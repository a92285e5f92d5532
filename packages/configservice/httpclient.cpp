#include "configservice/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>

namespace Rattanpick
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int http11 = 11;
constexpr int keepAliveIntervalSeconds = 1;

void setOption(asio::ip::tcp::socket &socket, int level, int name, int value)
{
    // A system without the option still has the deadline of the call.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}

class HttpClient::Private
{
public:
    explicit Private(const HttpClientSettings &givenSettings)
        : settings(givenSettings)
    {
    }

    bool connect(const Endpoint &service, TimePoint deadline);
    std::optional<HttpReply> exchange(const QByteArray &path, TimePoint deadline);
    bool finish(const char *step);
    void close();

    const HttpClientSettings settings;
    asio::io_context context{1};
    beast::tcp_stream stream{context};
    beast::error_code error;
    Endpoint connected;
    std::atomic<bool> isCancelled = false;
    /// Rises with each call.
    std::atomic<quint64> callNumber = 0;
    QString lastError;
};

bool HttpClient::Private::finish(const char *step)
{
    context.restart();
    if (isCancelled) {
        stream.cancel();
    }
    context.run();
    if (!error && !isCancelled) {
        return true;
    }
    lastError = isCancelled ? QStringLiteral("cancelled") : QStringLiteral("%1: %2").arg(QLatin1String(step), QString::fromStdString(error.message()));
    close();
    return false;
}

void HttpClient::Private::close()
{
    beast::error_code ignored;
    stream.socket().close(ignored);
    connected = {};
}

bool HttpClient::Private::connect(const Endpoint &service, TimePoint deadline)
{
    if (connected == service) {
        return true;
    }
    close();
    const asio::ip::tcp::endpoint address(asio::ip::address_v4(service.address), service.port);
    stream.expires_at(std::min(deadline, Clock::now() + settings.connectTimeout));
    stream.async_connect(address, [this](beast::error_code result) { error = result; });
    if (!finish("connect")) {
        return false;
    }
    setOption(stream.socket(), IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(stream.socket(), SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream.socket(), IPPROTO_TCP, TCP_KEEPIDLE, settings.keepAliveIdleSeconds);
    setOption(stream.socket(), IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(stream.socket(), IPPROTO_TCP, TCP_KEEPCNT, settings.keepAliveProbes);
    connected = service;
    return true;
}

std::optional<HttpReply> HttpClient::Private::exchange(const QByteArray &path, TimePoint deadline)
{
    http::request<http::empty_body> request(http::verb::get, beast::string_view(path.constData(), static_cast<std::size_t>(path.size())), http11);
    request.set(http::field::host, connected.toString().toStdString());
    if (!settings.caller.isEmpty()) {
        request.set("X-Caller", settings.caller.toStdString());
    }
    stream.expires_at(deadline);
    http::async_write(stream, request, [this](beast::error_code result, std::size_t) { error = result; });
    if (!finish("write")) {
        return std::nullopt;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(settings.maximumAnswerBytes);
    http::async_read(stream, buffer, parser, [this](beast::error_code result, std::size_t) { error = result; });
    if (!finish("read")) {
        return std::nullopt;
    }
    const auto &response = parser.get();
    const beast::string_view revision = response["X-Revision"];
    HttpReply answer{static_cast<int>(response.result_int()),
                     QByteArray::fromStdString(response.body()),
                     QByteArray(revision.data(), static_cast<qsizetype>(revision.size()))};
    if (!parser.keep_alive()) {
        close();
    }
    return answer;
}

HttpClient::HttpClient(const HttpClientSettings &settings)
    : m_d(std::make_unique<Private>(settings))
{
}

HttpClient::~HttpClient() = default;

std::optional<HttpReply> HttpClient::get(const Endpoint &service, const QByteArray &path, TimePoint deadline)
{
    ++m_d->callNumber;
    const bool isReused = m_d->connected == service;
    if (!m_d->connect(service, deadline)) {
        return std::nullopt;
    }
    std::optional<HttpReply> answer = m_d->exchange(path, deadline);
    // The service may have closed a kept connection in the meantime; a GET request may be repeated.
    const bool isClosedMeanwhile =
        isReused && !answer
        && (m_d->error == http::error::end_of_stream || m_d->error == asio::error::connection_reset || m_d->error == asio::error::broken_pipe);
    if (isClosedMeanwhile && m_d->connect(service, deadline)) {
        answer = m_d->exchange(path, deadline);
    }
    return answer;
}

void HttpClient::interrupt()
{
    const quint64 call = m_d->callNumber;
    asio::post(m_d->context, [this, call] {
        // The handler may run only in a later call, which is not meant.
        if (m_d->callNumber == call) {
            m_d->stream.cancel();
        }
    });
}

void HttpClient::cancel()
{
    m_d->isCancelled = true;
    interrupt();
}

const QString &HttpClient::lastError() const
{
    return m_d->lastError;
}

}
