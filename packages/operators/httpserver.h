#pragma once

#include "core/endpoint.h"

#include <QByteArray>
#include <QString>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Rattanpick
{

/// The response to an HTTP request, as sent by a server.
struct HttpResponse
{
    unsigned status = 200;
    QByteArray contentType = "text/plain; charset=utf-8";
    QByteArray body;

    bool operator==(const HttpResponse &) const = default;
};

/// Serves HTTP GET requests on one or more addresses in a thread of its own.
class HttpServer
{
public:
    /// Returns the response to a request. @p query is the part of the request target after the question mark. Called in
    /// the server thread.
    using Handler = std::function<HttpResponse(const QByteArray &query)>;

    /// Creates a server that does not listen yet.
    explicit HttpServer(const std::vector<Endpoint> &listen);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Registers the handler for GET @p path. Call before start().
    void handle(const std::string &path, Handler handler);

    /// Starts listening and serving. Returns false and sets lastError() if it cannot listen on an address.
    bool start();

    /// Stops the server thread. No handler is called afterwards.
    void stop();

    /// The addresses on which the server listens, in the order given. Ports chosen by the system are set by start().
    const std::vector<Endpoint> &endpoints() const
    {
        return m_endpoints;
    }

    /// The error message of the last failed start().
    const QString &lastError() const
    {
        return m_lastError;
    }

private:
    std::vector<Endpoint> m_endpoints;
    QString m_lastError;
    class Private;
    std::unique_ptr<Private> m_d;
};

}
