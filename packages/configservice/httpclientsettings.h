#pragma once

#include "core/timepoint.h"

#include <QByteArray>
#include <QString>
#include <QtGlobal>

namespace Rattanpick
{

/// Settings of an HttpClient.
struct HttpClientSettings
{
    /// Sent as header X-Caller, so that a service can distinguish its callers; omitted if empty.
    QString caller = {};
    /// Name of a header whose value each reply reports; none if empty.
    QByteArray reportedHeader = {};
    /// Timeout for connecting. A service in the same region accepts connections within milliseconds.
    Duration connectTimeout = 1s;
    /// Maximum size of a reply, which limits its memory use. At the design size of the system, the instance list has
    /// about 5 MB.
    quint64 maximumReplyBytes = 64'000'000;
    /// Idle time of a connection before keep-alive probes are sent, in seconds.
    int keepAliveIdleSeconds = 1;
    /// Number of unacknowledged keep-alive probes, sent once per second, after which a connection is considered dead.
    int keepAliveProbes = 2;

    bool operator==(const HttpClientSettings &) const = default;
};

}
