#pragma once

#include "configservice/httpclientsettings.h"
#include "core/endpoint.h"

#include <QByteArray>
#include <QString>

#include <memory>
#include <optional>

namespace Rattanpick
{

/// The answer of an HTTP service to one request.
struct HttpReply
{
    int status = 0;
    QByteArray body;
    /// The value of the header X-Revision, empty if there is none.
    QByteArray revisionHeader;

    bool operator==(const HttpReply &) const = default;
};

/// Makes HTTP GET requests one at a time over a connection that is kept open.
///
/// Calls block the calling thread; a service that answers late, trickles bytes or falls silent is given up at the
/// deadline, or earlier by keep-alive probes.
class HttpClient
{
public:
    /// Builds a client; nothing is sent yet.
    explicit HttpClient(const HttpClientSettings &settings);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// The answer to GET @p path (query included) of the service; nothing on failure or at the deadline.
    std::optional<HttpReply> get(const Endpoint &service, const QByteArray &path, TimePoint deadline);

    /// Makes the current call fail, if one is under way; may be called from any thread.
    void interrupt();

    /// Makes the current and all later calls fail at once; may be called from any thread.
    void cancel();

    /// Why the latest call failed.
    const QString &lastError() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
