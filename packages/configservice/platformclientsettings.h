#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QList>
#include <QString>

namespace Rattanpick
{

/// What a PlatformClient is built from.
struct PlatformClientSettings
{
    /// Where the configuration service listens, tried in turn; at least one.
    QList<Endpoint> endpoints;
    /// Sent as header X-Caller, so that the service can tell callers apart.
    QString caller;
    /// The longest wait for an answer. Must exceed the time for which the service holds a watch (30 s).
    Duration timeout = 40s;
    /// The longest wait for a part of a document, which the service answers at once.
    Duration partTimeout = 5s;

    bool operator==(const PlatformClientSettings &) const = default;
};

}
