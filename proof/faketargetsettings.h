#pragma once

#include "core/timepoint.h"

#include <QString>

#include <cstddef>

namespace Rattanpick::Proof
{

/// What a FakeTarget is built from.
struct FakeTargetSettings
{
    QString name;
    QString service;
    QString dataCentre;
    /// Requests that run at the same time.
    int slotCount = 2;
    /// Flows held at the same time.
    std::size_t connections = 2000;
    /// Requests that wait for a slot before the target sheds.
    std::size_t queueLimit = 4;
    /// Mean run time of a request at speed 1.
    Duration runTime = 40ms;
    /// Divides the run time.
    double speed = 1;
    /// Share of the slots that the cold target bears, 0 to 1.
    double coldShare = 0.1;
    /// Time until the cold target bears everything.
    Duration warmTime = 30s;
    /// Whether the target starts warm, as if it had run for long.
    bool startsWarm = true;
    /// Parts of an answer, sent in random order.
    int answerParts = 3;
    /// Probability that a part is sent twice.
    double partRepetition = 0.1;
    /// Probability that a request is shed for no visible reason.
    double shedProbability = 0;
    quint64 seed = 1;
};

}
