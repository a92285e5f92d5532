#pragma once

#include "core/timepoint.h"

#include <QString>

#include <cstddef>

namespace Rattanpick::Proof
{

/// Settings of a FakeTarget.
struct FakeTargetSettings
{
    QString name;
    QString service;
    QString dataCentre;
    /// Maximum number of requests that run at the same time.
    int slotCount = 2;
    /// Maximum number of open flows.
    std::size_t connections = 2000;
    /// Maximum number of requests that wait for a slot; further ones are shed.
    std::size_t queueLimit = 4;
    /// Mean run time of a request at speed 1.
    Duration runTime = 40ms;
    /// Divisor of the run time.
    double speed = 1;
    /// Share of the slots that a cold target can use at full speed, 0 to 1.
    double coldShare = 0.1;
    /// Time until a cold target is warm.
    Duration warmTime = 30s;
    /// Whether the target starts warm, as if it had been running for long.
    bool startsWarm = true;
    /// Number of parts of an answer; they are sent in random order.
    int answerParts = 3;
    /// Probability that a part is sent twice.
    double partRepetition = 0.1;
    /// Probability that a request is shed although a slot is free.
    double shedProbability = 0;
    quint64 seed = 1;
};

}
