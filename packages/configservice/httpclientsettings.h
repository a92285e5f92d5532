#pragma once

#include "core/timepoint.h"

#include <QString>
#include <QtGlobal>

namespace Rattanpick
{

/// What an HttpClient is built from.
struct HttpClientSettings
{
    /// Sent as header X-Caller, so that a service can tell callers apart; left out if empty.
    QString caller = {};
    /// The longest wait for a connection; a service in the same region accepts within milliseconds.
    Duration connectTimeout = 1s;
    /// Bounds the memory that an answer can claim; the instance list of the design size has about 5 MB.
    quint64 maximumAnswerBytes = 64'000'000;
    /// Silence of an idle connection after which keep-alive probes are sent, in whole seconds.
    int keepAliveIdleSeconds = 1;
    /// Keep-alive probes, one each second, that go unanswered before a silent connection counts as dead.
    int keepAliveProbes = 2;

    bool operator==(const HttpClientSettings &) const = default;
};

}
