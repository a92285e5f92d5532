#pragma once

#include "core/configurationversion.h"
#include "core/identifiers.h"
#include "core/timepoint.h"
#include "fabric/tunnelheader.h"

#include <optional>
#include <unordered_map>

namespace Rattanpick
{

/// What an agent knows of the other agents of its service from their own messages and the instance list.
class PeerView
{
public:
    /// How long a reported load counts; later the peer's load is unknown.
    static constexpr Duration loadLifetime = 2s;
    /// The shortest time between two questions for the load of one peer. A home agent has at most 128 other candidates in its
    /// 64 buckets, so that questions and answers of some 130 bytes stay under 28 KB a second together with all else.
    static constexpr Duration loadRefresh = 1s;

    // Observation

    /// Takes note of a message; true if the sender has another incarnation than before.
    bool onMessage(TimePoint now, const TunnelHeader &header);

    /// The instance list shows (or no longer shows) the target's agent as live.
    void setListedLive(TargetId target, bool isLive);

    /// Marks the peer as suspected dead, or no longer; true if that is new.
    bool setSuspected(TargetId target, bool isSuspected);

    /// The peer is asked for its load now.
    void setLoadAsked(TimePoint now, TargetId target);

    /// Raises the peer's load until its next message, for a flow that it has just been given.
    void addExpectedLoad(TargetId target, int permille);

    // Questions

    /// The highest version that the peer has shown; a null version if none.
    ConfigurationVersion versionOf(TargetId target) const;

    /// Whether the peer has shown the version or a later one.
    bool hasReached(TargetId target, const ConfigurationVersion &version) const;

    /// Load in permille, or nothing if the peer has not told it lately.
    std::optional<int> loadOf(TimePoint now, TargetId target) const;

    /// Whether the peer should be asked for its load: it is unknown or older than loadRefresh, and was not asked for since.
    bool needsLoad(TimePoint now, TargetId target) const;

    /// The incarnation of the peer's process; 0 if not known.
    Incarnation incarnationOf(TargetId target) const;

    /// Whether the peer has said of itself that it is long enough in service to know its flows and requests.
    bool isSettled(TargetId target) const;

    /// Whether the peer is suspected dead.
    bool isSuspected(TargetId target) const;

    /// Whether the instance list has said that the peer is gone.
    bool isListedGone(TargetId target) const;

    /// Whether a message of the peer has come after the given time.
    bool wasSeenAfter(TargetId target, TimePoint time) const;

private:
    struct Peer
    {
        ConfigurationVersion version;
        Incarnation incarnation{};
        std::optional<TimePoint> seenAt;
        std::optional<TimePoint> loadDeadline;
        /// When the peer may be asked for its load again.
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
