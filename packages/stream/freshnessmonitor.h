#pragma once

#include "core/endpoint.h"
#include "stream/directoryposition.h"
#include "stream/freshnessmonitorsettings.h"
#include "stream/verificationage.h"

#include <array>
#include <random>

namespace Rattanpick
{

/// Keeps a process from working with an outdated directory: detects newer positions at peers and stalled watches.
///
/// Processes exchange their position and the time since it was verified, so that few calls to the source serve all of
/// them.
class FreshnessMonitor
{
public:
    /// Builds a monitor without a verified position.
    FreshnessMonitor(const FreshnessMonitorSettings &settings, TimePoint now);

    // Input

    /// The directory has reached the position, from the source itself or from a peer.
    void onPosition(TimePoint now, const DirectoryPosition &position, bool isFromSource);

    /// The source has reported its position in response to a verification that was sent at @p sentAt.
    void onVerified(TimePoint now, TimePoint sentAt, const DirectoryPosition &position);

    /// A verification has failed.
    void onVerificationFailed(TimePoint now);

    /// The process at @p sender has reported its position and when that was verified.
    void onPeerPosition(TimePoint now, const Endpoint &sender, const DirectoryPosition &position, const VerificationAge &verification);

    /// Sets whether this process watches the source on behalf of others, and the source serves it.
    void setReader(bool isReader)
    {
        m_isReader = isReader;
    }

    /// Sets whether this process has no peers to query.
    void setIsolated(bool isIsolated)
    {
        m_isIsolated = isIsolated;
    }

    // Decisions

    /// Whether to query the source for its position now; true once for each verification.
    bool takeDueVerification(TimePoint now);

    /// Whether to fetch a newer position now; true once for each update.
    bool takeDueFetch(TimePoint now);

    /// The process that reported the latest position; null if it was the source.
    Endpoint updateSource() const
    {
        return m_updateSource;
    }

    /// Whether a fetch reads the source as well: no process has the position, or the watch of this one has not delivered it.
    bool needsFullRead() const
    {
        return m_isReader || m_updateSource.isNull();
    }

    /// Whether to query peers for their position now; true once in an interval.
    bool takeDueQuery(TimePoint now);

    /// When one of the decisions may change.
    TimePoint nextDeadline() const;

    // State

    /// The position of the directory.
    const DirectoryPosition &position() const
    {
        return m_position;
    }

    /// Time since the position was last verified to be the latest.
    Duration age(TimePoint now) const;

    /// The latest verification that peers may take over from this process.
    VerificationAge reportedVerification(TimePoint now) const;

private:
    void recordPosition(TimePoint now, const Endpoint &updateSource, const DirectoryPosition &position, const VerificationAge &verification);
    void markVerified(TimePoint time, std::size_t hopCount);
    Duration randomDuration(Duration from, Duration to);

    FreshnessMonitorSettings m_settings;
    std::mt19937_64 m_random;
    DirectoryPosition m_position;
    /// The highest position that was reported by any process or the source.
    DirectoryPosition m_latestPosition;
    /// The latest verification by the number of processes that it has passed.
    std::array<TimePoint, VerificationAge::maximumHopCount + 1> m_verifiedAt{};
    TimePoint m_verificationDeadline;
    TimePoint m_fetchDeadline = TimePoint::max();
    TimePoint m_queryDeadline;
    Endpoint m_updateSource;
    bool m_isVerifying = false;
    bool m_isReader = false;
    bool m_isIsolated = true;
};

}
