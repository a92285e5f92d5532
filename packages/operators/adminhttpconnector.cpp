#include "operators/adminhttpconnector.h"

#include <microhttpd.h>
#include <netinet/in.h>

#include <cerrno>
#include <cstring>
#include <memory>

namespace Rattanpick
{

namespace
{

// Valid requests hold little more than a method and a version. The limit prevents a faulty client from exhausting
// the memory.
constexpr std::size_t maximumRequestBytes = 65536;
// Many peers pull a new document at the same time. Connections beyond this limit wait in the backlog of the socket.
constexpr unsigned maximumConnections = 128;
constexpr unsigned connectionTimeoutSeconds = 10;

struct HttpRequest
{
    std::string body;
    bool isTooLarge = false;
};

MHD_Result respond(MHD_Connection *connection, unsigned status, std::string text, const char *contentType)
{
    MHD_Response *response = MHD_create_response_from_buffer(text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr) {
        return MHD_NO;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, contentType);
    const MHD_Result queued = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return queued;
}

// Called by libmicrohttpd once for the headers, then for each part of the body, and finally without data.
MHD_Result handleRequestData(void *connector,
                             MHD_Connection *connection,
                             const char * /*url*/,
                             const char *method,
                             const char * /*version*/,
                             const char *data,
                             std::size_t *dataSize,
                             void **context)
{
    auto *request = static_cast<HttpRequest *>(*context);
    if (request == nullptr) {
        *context = new HttpRequest;
        return MHD_YES;
    }
    if (*dataSize > 0) {
        request->isTooLarge = request->isTooLarge || request->body.size() + *dataSize > maximumRequestBytes;
        if (!request->isTooLarge) {
            request->body.append(data, *dataSize);
        }
        *dataSize = 0;
        return MHD_YES;
    }
    if (std::strcmp(method, MHD_HTTP_METHOD_POST) != 0) {
        return respond(connection, MHD_HTTP_METHOD_NOT_ALLOWED, "send JSON-RPC requests by POST\n", "text/plain");
    }
    if (request->isTooLarge) {
        return respond(connection, MHD_HTTP_CONTENT_TOO_LARGE, "request is too large\n", "text/plain");
    }
    std::string resultText;
    static_cast<AdminHttpConnector *>(connector)->OnRequest(request->body, &resultText);
    return respond(connection, MHD_HTTP_OK, std::move(resultText), "application/json");
}

void handleRequestCompleted(void * /*connector*/, MHD_Connection * /*connection*/, void **context, MHD_RequestTerminationCode /*reason*/)
{
    const std::unique_ptr<HttpRequest> request(static_cast<HttpRequest *>(*context));
    *context = nullptr;
}

}

AdminHttpConnector::AdminHttpConnector(const Endpoint &listen)
    : m_endpoint(listen)
{
}

AdminHttpConnector::~AdminHttpConnector()
{
    AdminHttpConnector::StopListening();
}

bool AdminHttpConnector::StartListening()
{
    if (m_daemon != nullptr) {
        m_lastError = QStringLiteral("the admin interface is already listening");
        return false;
    }
    // The address of the settings is announced to peers, and the interface must not be reachable on any other address.
    if (m_endpoint.address == 0) {
        m_lastError = QStringLiteral("the admin interface needs one address, not the wildcard");
        return false;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(m_endpoint.address);
    address.sin_port = htons(m_endpoint.port);
    errno = 0;
    m_daemon = MHD_start_daemon(MHD_USE_AUTO | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC,
                                m_endpoint.port,
                                nullptr,
                                nullptr,
                                &handleRequestData,
                                this,
                                MHD_OPTION_SOCK_ADDR,
                                &address,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                &handleRequestCompleted,
                                nullptr,
                                MHD_OPTION_CONNECTION_LIMIT,
                                maximumConnections,
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

bool AdminHttpConnector::StopListening()
{
    if (m_daemon == nullptr) {
        return false;
    }
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
    return true;
}

bool AdminHttpConnector::SendResponse(const std::string &response, void *responseText)
{
    *static_cast<std::string *>(responseText) = response;
    return true;
}

}
