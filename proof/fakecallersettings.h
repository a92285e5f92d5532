#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QString>

namespace Rattanpick::Proof
{

/// Settings of a FakeCaller.
struct FakeCallerSettings
{
    QString name;
    Endpoint endpoint;
    Endpoint service;
    /// Mean time between two requests; zero for a flow without requests.
    Duration requestInterval = 400ms;
    /// Time within which a request must be answered.
    Duration requestDeadline = 2s;
    /// Share of idempotent requests, which may run more than once.
    double idempotentShare = 0.3;
    /// Share of requests that are cancelled soon after they were sent.
    double cancelShare = 0.02;
    /// Mean time between two data packets on the flow.
    Duration dataInterval = 500ms;
    /// Mean time until the flow is closed and another one opened; zero to keep it open.
    Duration flowLifetime{};
    /// Whether answer parts are assembled without regard to their request, as the baseline of P5 does.
    bool ignoresRequestIdentity = false;
    /// Whether a broken or refused flow is replaced by a new one.
    bool reopensFlow = true;
    quint64 seed = 1;
};

}
