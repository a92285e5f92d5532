#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QString>

#include <cstddef>

namespace Rattanpick
{

/// What a SpreadNode is built from; the defaults are those of the design page.
struct SpreadNodeSettings
{
    /// Name of this instance in the instance list.
    QString name;
    QString dataCentre;
    /// Where this node serves documents.
    Endpoint admin;
    /// Where the tunnel socket of this node listens.
    Endpoint tunnel;
    /// Seed of the random numbers that the decisions draw.
    quint64 seed = 1;

    /// Readers of the platform in each data centre.
    int readersPerDataCentre = 3;
    /// Random peers told of a new version.
    int pushFanOut = 4;
    /// Time between two comparisons with a random peer.
    Duration antiEntropyInterval = 1s;
    /// Time without any version heard after which a node reads the platform by itself.
    Duration silenceLimit = 10s;
    /// Bounds of the randomised back-off of platform calls.
    Duration backoffMinimum = 200ms;
    Duration backoffMaximum = 30s;
    /// Versions for which a difference can be given.
    std::size_t deltaHistory = 32;
    /// Peers to compare versions with before serving.
    int joinPeers = 2;
    /// The longest wait for them with a document at hand.
    Duration joinLimit = 2s;

    bool operator==(const SpreadNodeSettings &) const = default;
};

}
