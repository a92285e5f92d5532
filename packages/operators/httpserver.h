#pragma once

#include "core/endpoint.h"

#include <QByteArray>
#include <QString>

#include <functional>
#include <memory>
#include <string>

namespace Rattanpick
{

/// The answer to an HTTP request.
struct HttpResponse
{
    unsigned status = 200;
    QByteArray contentType = "text/plain; charset=utf-8";
    QByteArray body;

    bool operator==(const HttpResponse &) const = default;
};

/// Answers HTTP GET requests on one address in a thread of its own.
class HttpServer
{
public:
    /// Makes the answer to a request from the text behind the question mark; called in the server's thread.
    using Handler = std::function<HttpResponse(const QByteArray &query)>;

    /// Builds a server that does not listen yet.
    explicit HttpServer(const Endpoint &listen);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Answers GET @p path with the handler; call before start().
    void handle(const std::string &path, Handler handler);

    /// Listens; false with lastError() if the address cannot be used.
    bool start();

    /// Ends the thread; no handler is called afterwards.
    void stop();

    /// Where it listens; the port is known after start().
    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    /// Why start() failed.
    const QString &lastError() const
    {
        return m_lastError;
    }

private:
    Endpoint m_endpoint;
    QString m_lastError;
    class Private;
    std::unique_ptr<Private> m_d;
};

}
