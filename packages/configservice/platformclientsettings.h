#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QList>
#include <QString>

namespace Rattanpick
{

/// Settings of a PlatformClient.
struct PlatformClientSettings
{
    /// Endpoints of the configuration service, tried in turn; at least one.
    QList<Endpoint> endpoints;
    /// Sent as header X-Caller, so that the service can distinguish its callers.
    QString caller;
    /// Timeout for a reply. Must exceed the time for which the service keeps a watch open (30 s).
    Duration timeout = 40s;
    /// Timeout for a part of a document, which the service returns immediately.
    Duration partTimeout = 5s;

    bool operator==(const PlatformClientSettings &) const = default;
};

}
