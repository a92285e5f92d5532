#include "operators/httpserver.h"

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

#include <list>
#include <thread>

namespace Rattanpick
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// Connections without a request for this long are closed.
constexpr std::chrono::seconds connectionTimeout{10};
/// Valid requests have no body and few headers.
constexpr quint32 maximumHeaderBytes = 4096;

}

class HttpServer::Private
{
public:
    /// One connection. It is kept alive by its pending read or write operation.
    class Connection : public std::enable_shared_from_this<Connection>
    {
    public:
        Connection(tcp::socket socket, const std::map<std::string, Handler> &handlers)
            : m_stream(std::move(socket))
            , m_handlers(handlers)
        {
        }

        void read()
        {
            m_parser.emplace();
            m_parser->header_limit(maximumHeaderBytes);
            m_stream.expires_after(connectionTimeout);
            http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
                if (!error) {
                    self->answer();
                }
            });
        }

    private:
        void answer()
        {
            const auto &request = m_parser->get();
            const HttpResponse reply = respond(request);
            m_response = {http::status(reply.status), request.version()};
            m_response.set(http::field::content_type, reply.contentType.toStdString());
            m_response.body() = reply.body.toStdString();
            m_response.keep_alive(request.keep_alive());
            m_response.prepare_payload();
            http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code error, std::size_t) {
                if (!error && self->m_response.keep_alive()) {
                    self->read();
                }
            });
        }

        HttpResponse respond(const http::request<http::empty_body> &request) const
        {
            if (request.method() != http::verb::get) {
                return {static_cast<unsigned>(http::status::method_not_allowed), "text/plain; charset=utf-8", "only GET is served here\n"};
            }
            const beast::string_view target = request.target();
            const std::size_t mark = target.find('?');
            const beast::string_view query = mark == beast::string_view::npos ? beast::string_view() : target.substr(mark + 1);
            const auto found = m_handlers.find(std::string(target.substr(0, mark)));
            return found != m_handlers.end() ? found->second(QByteArray(query.data(), static_cast<qsizetype>(query.size())))
                                             : HttpResponse{static_cast<unsigned>(http::status::not_found), "text/plain; charset=utf-8", "no such page\n"};
        }

        beast::tcp_stream m_stream;
        const std::map<std::string, Handler> &m_handlers;
        beast::flat_buffer m_buffer;
        std::optional<http::request_parser<http::empty_body>> m_parser;
        http::response<http::string_body> m_response;
    };

    void accept(tcp::acceptor &acceptor)
    {
        acceptor.async_accept([this, &acceptor](beast::error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                std::make_shared<Connection>(std::move(socket), handlers)->read();
            }
            accept(acceptor);
        });
    }

    beast::error_code listen(Endpoint &endpoint)
    {
        tcp::acceptor &acceptor = acceptors.emplace_back(context);
        beast::error_code error;
        acceptor.open(tcp::v4(), error);
        if (!error) {
            acceptor.set_option(tcp::acceptor::reuse_address(true), error);
            acceptor.bind(tcp::endpoint(asio::ip::address_v4(endpoint.address), endpoint.port), error);
        }
        if (!error) {
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (!error) {
            endpoint.port = acceptor.local_endpoint().port();
            accept(acceptor);
        }
        return error;
    }

    std::map<std::string, Handler> handlers;
    asio::io_context context{1};
    /// A std::list, because accept() keeps references to its elements.
    std::list<tcp::acceptor> acceptors;
    std::thread thread;
};

HttpServer::HttpServer(const std::vector<Endpoint> &listen)
    : m_endpoints(listen)
    , m_d(std::make_unique<Private>())
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::handle(const std::string &path, Handler handler)
{
    m_d->handlers[path] = std::move(handler);
}

bool HttpServer::start()
{
    for (Endpoint &endpoint : m_endpoints) {
        if (const beast::error_code error = m_d->listen(endpoint)) {
            m_lastError = QStringLiteral("cannot listen at %1: %2").arg(endpoint.toString(), QString::fromStdString(error.message()));
            return false;
        }
    }
    m_d->thread = std::thread([this] { m_d->context.run(); });
    return true;
}

void HttpServer::stop()
{
    if (!m_d->thread.joinable()) {
        return;
    }
    m_d->context.stop();
    m_d->thread.join();
    m_d->acceptors.clear();
}

}
