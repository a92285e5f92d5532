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
    // Errors are ignored: on systems without the option, the deadline of the call still applies.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}

class HttpClient::Private
{
public:
    explicit Private(const HttpClientSettings &clientSettings)
        : settings(clientSettings)
    {
    }

    bool connect(const Endpoint &service, TimePoint deadline);
    std::optional<HttpReply> sendRequest(const QByteArray &path, TimePoint deadline);
    bool runOperation(const char *step);
    void close();

    const HttpClientSettings settings;
    asio::io_context context{1};
    beast::tcp_stream stream{context};
    beast::error_code error;
    Endpoint connectedEndpoint;
    std::atomic<bool> isCancelled = false;
    /// Incremented by each call, so that a late interruption can be recognised.
    std::atomic<quint64> callNumber = 0;
    QString lastError;
};

bool HttpClient::Private::runOperation(const char *step)
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
    connectedEndpoint = {};
}

bool HttpClient::Private::connect(const Endpoint &service, TimePoint deadline)
{
    if (connectedEndpoint == service) {
        return true;
    }
    close();
    const asio::ip::tcp::endpoint address(asio::ip::address_v4(service.address), service.port);
    stream.expires_at(std::min(deadline, Clock::now() + settings.connectTimeout));
    stream.async_connect(address, [this](beast::error_code result) { error = result; });
    if (!runOperation("connect")) {
        return false;
    }
    setOption(stream.socket(), IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(stream.socket(), SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream.socket(), IPPROTO_TCP, TCP_KEEPIDLE, settings.keepAliveIdleSeconds);
    setOption(stream.socket(), IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(stream.socket(), IPPROTO_TCP, TCP_KEEPCNT, settings.keepAliveProbes);
    connectedEndpoint = service;
    return true;
}

std::optional<HttpReply> HttpClient::Private::sendRequest(const QByteArray &path, TimePoint deadline)
{
    http::request<http::empty_body> request(http::verb::get, beast::string_view(path.constData(), static_cast<std::size_t>(path.size())), http11);
    request.set(http::field::host, connectedEndpoint.toString().toStdString());
    if (!settings.caller.isEmpty()) {
        request.set("X-Caller", settings.caller.toStdString());
    }
    stream.expires_at(deadline);
    http::async_write(stream, request, [this](beast::error_code result, std::size_t) { error = result; });
    if (!runOperation("write")) {
        return std::nullopt;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(settings.maximumReplyBytes);
    http::async_read(stream, buffer, parser, [this](beast::error_code result, std::size_t) { error = result; });
    if (!runOperation("read")) {
        return std::nullopt;
    }
    const auto &response = parser.get();
    const beast::string_view revision = response["X-Revision"];
    HttpReply reply{static_cast<int>(response.result_int()),
                    QByteArray::fromStdString(response.body()),
                    QByteArray(revision.data(), static_cast<qsizetype>(revision.size())),
                    {}};
    if (const auto header = response.find(settings.reportedHeader.toStdString()); header != response.end()) {
        reply.reportedHeader = QByteArray(header->value().data(), static_cast<qsizetype>(header->value().size()));
    }
    if (!parser.keep_alive()) {
        close();
    }
    return reply;
}

HttpClient::HttpClient(const HttpClientSettings &settings)
    : m_d(std::make_unique<Private>(settings))
{
}

HttpClient::~HttpClient() = default;

std::optional<HttpReply> HttpClient::get(const Endpoint &service, const QByteArray &path, TimePoint deadline)
{
    ++m_d->callNumber;
    const bool isReused = m_d->connectedEndpoint == service;
    if (!m_d->connect(service, deadline)) {
        return std::nullopt;
    }
    std::optional<HttpReply> reply = m_d->sendRequest(path, deadline);
    // The service may have closed the idle connection in the meantime. A GET request can safely be repeated.
    const bool isClosedMeanwhile =
        isReused && !reply
        && (m_d->error == http::error::end_of_stream || m_d->error == asio::error::connection_reset || m_d->error == asio::error::broken_pipe);
    if (isClosedMeanwhile && m_d->connect(service, deadline)) {
        reply = m_d->sendRequest(path, deadline);
    }
    return reply;
}

void HttpClient::interrupt()
{
    const quint64 call = m_d->callNumber;
    asio::post(m_d->context, [this, call] {
        // The handler may not run before a later call, which must not be interrupted.
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
