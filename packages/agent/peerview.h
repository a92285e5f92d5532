#pragma once

#include "core/configurationversion.h"
#include "core/identifiers.h"
#include "core/timepoint.h"
#include "fabric/tunnelheader.h"

#include <optional>
#include <unordered_map>

namespace Rattanpick
{

/// The state of the other agents of the service, from their own messages and the instance list.
class PeerView
{
public:
    /// How long a reported load is valid; after that the peer's load is unknown.
    static constexpr Duration loadLifetime = 2s;
    /// Minimum time between two load queries to one peer. A home agent has at most 128 other candidates in its 64
    /// buckets, so that queries and replies of about 130 bytes each, with all other traffic, stay below 28 KB/s.
    static constexpr Duration loadRefresh = 1s;

    // Observation

    /// Records the header of a message; true if the sender has another incarnation than before.
    bool onMessage(TimePoint now, const TunnelHeader &header);

    /// Records whether the instance list shows the target's agent as live.
    void setListedLive(TargetId target, bool isLive);

    /// Sets whether the peer is suspected to have failed; true if this is a change.
    bool setSuspected(TargetId target, bool isSuspected);

    /// Records that the load of the peer is being requested.
    void setLoadAsked(TimePoint now, TargetId target);

    /// Raises the recorded load of the peer until its next message, to account for a flow that it has just accepted.
    void addExpectedLoad(TargetId target, int permille);

    // Queries

    /// The highest version received from this incarnation of the peer; a null version if none.
    ConfigurationVersion versionOf(TargetId target) const;

    /// Whether the peer has reported the version or a later one.
    bool hasReached(TargetId target, const ConfigurationVersion &version) const;

    /// Load in permille; empty if the peer has not reported it within loadLifetime.
    std::optional<int> loadOf(TimePoint now, TargetId target) const;

    /// Whether the load of the peer should be requested: it is unknown or older than loadRefresh, and was not requested
    /// since.
    bool needsLoad(TimePoint now, TargetId target) const;

    /// The incarnation of the peer's process; 0 if unknown.
    Incarnation incarnationOf(TargetId target) const;

    /// Whether the peer has reported that it has been running long enough to have complete records of its flows and
    /// requests.
    bool isSettled(TargetId target) const;

    /// Whether the peer is suspected to have failed.
    bool isSuspected(TargetId target) const;

    /// Whether the instance list no longer shows the peer as live.
    bool isListedGone(TargetId target) const;

    /// Whether a message of the peer has arrived after the given time.
    bool wasSeenAfter(TargetId target, TimePoint time) const;

private:
    struct Peer
    {
        ConfigurationVersion version;
        Incarnation incarnation{};
        std::optional<TimePoint> seenAt;
        std::optional<TimePoint> loadDeadline;
        /// When the load of the peer may be requested again.
        std::optional<TimePoint> askDeadline;
        int loadPermille = 0;
        bool isSettled = false;
        bool isSuspected = false;
        bool isListedGone = false;
    };

    const Peer *find(TargetId target) const;

    std::unordered_map<quint32, Peer> m_peers;
};

}
