#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QString>

namespace Rattanpick::Proof
{

/// What a FakeCaller is built from.
struct FakeCallerSettings
{
    QString name;
    Endpoint endpoint;
    Endpoint service;
    /// Mean time between two requests; zero for a flow without requests.
    Duration requestInterval = 400ms;
    /// Time in which a request must be answered.
    Duration requestDeadline = 2s;
    /// Share of requests that may run more than once.
    double idempotentShare = 0.3;
    /// Share of requests that are withdrawn soon after they were sent.
    double cancelShare = 0.02;
    /// Time between two pieces of data on the flow.
    Duration dataInterval = 500ms;
    /// Mean time until the flow is closed and another one opened; zero for flows that last.
    Duration flowLifetime{};
    /// Whether parts of answers are put together without regard to the request that they answer.
    bool ignoresIdentity = false;
    /// Whether a flow that broke or was refused is replaced by a new one.
    bool opensAgain = true;
    quint64 seed = 1;
};

}
