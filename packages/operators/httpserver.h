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

/// The answer to an HTTP request.
struct HttpResponse
{
    unsigned status = 200;
    QByteArray contentType = "text/plain; charset=utf-8";
    QByteArray body;

    bool operator==(const HttpResponse &) const = default;
};

/// Answers HTTP GET requests on one or more addresses, in one thread of its own.
class HttpServer
{
public:
    /// Makes the answer to a request from the text behind the question mark; called in the server's thread.
    using Handler = std::function<HttpResponse(const QByteArray &query)>;

    /// Builds a server that does not listen yet.
    explicit HttpServer(const std::vector<Endpoint> &listen);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Answers GET @p path with the handler; call before start().
    void handle(const std::string &path, Handler handler);

    /// Listens; false with lastError() if an address cannot be used.
    bool start();

    /// Ends the thread; no handler is called afterwards.
    void stop();

    /// Where it listens, in the order given; ports are known after start().
    const std::vector<Endpoint> &endpoints() const
    {
        return m_endpoints;
    }

    /// Why start() failed.
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
