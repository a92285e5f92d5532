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
    QString name{};
    QString dataCentre{};
    /// Where this node serves documents.
    Endpoint admin{};
    /// Where the tunnel socket of this node listens.
    Endpoint tunnel{};
    /// Seed of the random numbers that the decisions draw.
    quint64 seed = 1;

    /// Readers of the platform in each data centre.
    int readersPerDataCentre = 3;
    /// Random peers told of a new version.
    int pushFanOut = 4;
    /// Time between two comparisons with a random peer.
    Duration antiEntropyInterval = 1s;
    /// Time between two comparisons while a new version spreads, and how long after its adoption that is. The push
    /// misses about 2% of the nodes, and more when messages are lost; 1 s between comparisons leaves some of them
    /// without the version for more than 4 s when 20% of the messages are lost.
    Duration spreadInterval = 250ms;
    Duration spreadTime = 3s;
    /// Time without any version heard after which a node reads the platform by itself.
    Duration silenceLimit = 10s;
    /// Bounds of the randomised back-off of platform calls.
    Duration backoffMinimum = 200ms;
    Duration backoffMaximum = 30s;
    /// Bound of the random delay of the first call of a node that starts without an instance list. 21,800 processes
    /// that start together make 1,090 calls a second at first, and fewer as soon as some of them tell the others.
    Duration startSpread = 20s;
    /// Bound of the random delay between calls of a node that hears no peer. If no node hears another, 21,800 make
    /// 727 calls a second; the 30 s of the readers' back-off would be too near the platform's limit.
    Duration aloneInterval = 60s;
    /// The longest wait for the end of a call to the platform, beyond the client's own limit of 40 s.
    Duration platformTimeout = 45s;
    /// The shortest time between two calls for one subject, in case a faulty platform ends every watch at once.
    Duration platformPause = 200ms;
    /// The longest wait for a peer's answer to a pull; doubled up to 8 times when many pulls in a row fail.
    Duration pullTimeout = 2s;
    /// Time after which a further peer is asked while the earlier ones have not answered.
    Duration pullHedge = 250ms;
    /// Time between two comparisons of the instance list with a random peer by nodes that do not read it.
    Duration instanceInterval = 60s;
    /// Bytes of instance lists that a node gives to peers: at once, and each second after that. Without a bound the
    /// first nodes that have the list of 21,800 instances (190 KB) after a mass restart give it to too many others.
    qint64 listBytesBurst = 600'000;
    qint64 listBytesPerSecond = 6'000;
    /// Answers a second to notices of one peer.
    int answersPerSecond = 10;
    /// A longer time between two ticks is a pause of the process.
    Duration pauseLimit = 1s;
    /// The longest wait for a comparison after a pause.
    Duration pauseHold = 1s;
    /// Versions for which a difference can be given.
    std::size_t deltaHistory = 32;
    /// Peers to compare versions with before serving.
    int joinPeers = 2;
    /// The longest wait for them with a document at hand.
    Duration joinLimit = 2s;

    bool operator==(const SpreadNodeSettings &) const = default;
};

}
