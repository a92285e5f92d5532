#pragma once

#include "configservice/httpclientsettings.h"
#include "core/endpoint.h"

#include <QByteArray>
#include <QString>

#include <memory>
#include <optional>

namespace Rattanpick
{

/// The response to an HTTP request, as seen by a client.
struct HttpReply
{
    int status = 0;
    QByteArray body;
    /// The value of the header X-Revision, or empty.
    QByteArray revisionHeader;
    /// The value of the header that HttpClientSettings::reportedHeader names; null if the reply has none.
    QByteArray reportedHeader;

    bool operator==(const HttpReply &) const = default;
};

/// Sends HTTP GET requests, one at a time, over a persistent connection.
///
/// Calls block the calling thread. If a service responds late, slowly or not at all, the call fails at the deadline,
/// or earlier when TCP keep-alive probes detect a dead connection.
class HttpClient
{
public:
    /// Creates a client without connecting it.
    explicit HttpClient(const HttpClientSettings &settings);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends GET @p path (including the query) to the service and returns the reply, or nothing on failure or if the
    /// deadline has passed.
    std::optional<HttpReply> get(const Endpoint &service, const QByteArray &path, TimePoint deadline);

    /// Makes the current call fail, if there is one. Thread-safe.
    void interrupt();

    /// Makes the current and all later calls fail immediately. Thread-safe.
    void cancel();

    /// The error message of the last failed call.
    const QString &lastError() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
