#include "operators/httpserver.h"

#include <microhttpd.h>
#include <netinet/in.h>

#include <cerrno>
#include <cstring>

namespace Rattanpick
{

namespace
{

constexpr unsigned maximumConnections = 64;
constexpr unsigned connectionTimeoutSeconds = 10;
/// The library's default of 32 KB for each connection would be the largest part of a small process.
constexpr std::size_t connectionMemoryBytes = 4096;

MHD_Result onRequest(void *server,
                     MHD_Connection *connection,
                     const char *path,
                     const char *method,
                     const char * /*version*/,
                     const char * /*data*/,
                     std::size_t *dataSize,
                     void ** /*context*/)
{
    // A body means nothing to a GET request.
    *dataSize = 0;
    HttpResponse answer = static_cast<HttpServer *>(server)->respond(method, path);
    MHD_Response *response = MHD_create_response_from_buffer(static_cast<std::size_t>(answer.body.size()), answer.body.data(), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr) {
        return MHD_NO;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.contentType.constData());
    const MHD_Result queued = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return queued;
}

}

HttpServer::HttpServer(const Endpoint &listen)
    : m_endpoint(listen)
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::handle(const std::string &path, Handler handler)
{
    m_handlers[path] = std::move(handler);
}

bool HttpServer::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(m_endpoint.address);
    address.sin_port = htons(m_endpoint.port);
    errno = 0;
    m_daemon = MHD_start_daemon(MHD_USE_AUTO | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC,
                                m_endpoint.port,
                                nullptr,
                                nullptr,
                                &onRequest,
                                this,
                                MHD_OPTION_SOCK_ADDR,
                                &address,
                                MHD_OPTION_CONNECTION_LIMIT,
                                maximumConnections,
                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                connectionMemoryBytes,
                                MHD_OPTION_CONNECTION_TIMEOUT,
                                connectionTimeoutSeconds,
                                MHD_OPTION_END);
    if (m_daemon == nullptr) {
        m_lastError = QStringLiteral("cannot listen at %1: %2").arg(m_endpoint.toString(), QString::fromLocal8Bit(std::strerror(errno)));
        return false;
    }
    if (const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT); info != nullptr) {
        m_endpoint.port = info->port;
    }
    return true;
}

void HttpServer::stop()
{
    if (m_daemon != nullptr) {
        MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }
}

HttpResponse HttpServer::respond(const char *method, const char *path) const
{
    if (std::strcmp(method, MHD_HTTP_METHOD_GET) != 0) {
        return {MHD_HTTP_METHOD_NOT_ALLOWED, "text/plain; charset=utf-8", "only GET is served here\n"};
    }
    const auto found = m_handlers.find(path);
    return found != m_handlers.end() ? found->second() : HttpResponse{MHD_HTTP_NOT_FOUND, "text/plain; charset=utf-8", "no such page\n"};
}

}
