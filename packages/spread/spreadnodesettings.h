#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QString>

#include <cstddef>

namespace Rattanpick
{

/// Parameters of a SpreadNode; the defaults are those of the design page.
struct SpreadNodeSettings
{
    /// Name of this instance in the instance list.
    QString name{};
    QString dataCentre{};
    /// Endpoint at which this node serves documents.
    Endpoint admin{};
    /// Endpoint at which the tunnel socket of this node listens.
    Endpoint tunnel{};
    /// Seed of the random number generator.
    quint64 seed = 1;

    /// Elected readers of the platform in each data centre.
    int readersPerDataCentre = 3;
    /// Number of random peers that receive a notice of a new version.
    int pushFanOut = 4;
    /// Time between two comparisons with a random peer.
    Duration antiEntropyInterval = 1s;
    /// Comparison interval while a new version spreads, and how long it applies after the version came into force. The
    /// push misses about 2% of the nodes, and more when messages are lost; with 1 s between comparisons and 20% message
    /// loss, some nodes stay without the version for more than 4 s.
    Duration spreadInterval = 250ms;
    Duration spreadDuration = 3s;
    /// Time without a version from any peer after which a node reads the platform although it is no elected reader.
    Duration isolationTimeout = 10s;
    /// Bounds of the randomised back-off after failed platform calls.
    Duration backoffMinimum = 200ms;
    Duration backoffMaximum = 30s;
    /// Upper bound of the random delay of the first platform call of a node that starts without an instance list.
    /// 21,800 processes that start together make 1,090 calls a second at first, and fewer as soon as some of them send
    /// the list to others.
    Duration startDelayLimit = 20s;
    /// Upper bound of the random delay between platform calls of an isolated node. If all 21,800 nodes are isolated,
    /// they make 727 calls a second; the 30 s of the readers' back-off would come too close to the platform's limit.
    Duration isolatedReadInterval = 60s;
    /// Timeout of a call to the platform; longer than the client's own timeout of 40 s.
    Duration platformTimeout = 45s;
    /// Minimum time between two calls for one subject, in case a faulty platform completes every watch immediately.
    Duration minimumPlatformCallInterval = 200ms;
    /// Timeout of a pull from a peer; grows up to eightfold when many consecutive pulls fail.
    Duration pullTimeout = 2s;
    /// Delay before a further peer is asked while the earlier ones have not answered.
    Duration pullHedge = 250ms;
    /// Mean time between two comparisons of the instance list with a random peer; only nodes that are not readers
    /// compare.
    Duration instanceInterval = 60s;
    /// Token bucket for instance lists sent to peers: burst size and refill per second. Without this limit, the first
    /// nodes that have the list of 21,800 instances (190 KB) after a mass restart would send it to too many others.
    qint64 listBytesBurst = 600'000;
    qint64 listBytesPerSecond = 6'000;
    /// Maximum number of answers a second to the notices of one peer.
    int answersPerSecond = 10;
    /// A longer gap between two ticks counts as a pause of the process.
    Duration pauseLimit = 1s;
    /// Maximum time that the node is not ready after a pause while it waits for a version comparison.
    Duration pauseQuarantine = 1s;
    /// Number of earlier versions for which a delta is available.
    std::size_t deltaHistory = 32;
    /// Number of peers to compare versions with before serving.
    int joinPeers = 2;
    /// Maximum wait for these comparisons once the node has a document.
    Duration joinTimeout = 2s;

    bool operator==(const SpreadNodeSettings &) const = default;
};

}
