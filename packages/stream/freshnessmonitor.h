#pragma once

#include "core/endpoint.h"
#include "stream/freshnessmonitorsettings.h"
#include "stream/verificationage.h"

#include <QtGlobal>

#include <array>
#include <random>

namespace Rattanpick
{

/// Keeps a process from working with an outdated directory: detects newer revisions at peers and stalled watches.
///
/// Processes exchange their revision and the time since it was verified, so that few calls to the source serve all of
/// them.
class FreshnessMonitor
{
public:
    /// Builds a monitor without a verified revision.
    FreshnessMonitor(const FreshnessMonitorSettings &settings, TimePoint now);

    // Input

    /// The directory has reached the revision, from the source itself or from a peer.
    void onRevision(TimePoint now, quint64 revision, bool isFromSource);

    /// The source has reported its revision in response to a verification that was sent at @p sentAt.
    void onVerified(TimePoint now, TimePoint sentAt, quint64 revision);

    /// A verification has failed.
    void onVerificationFailed(TimePoint now);

    /// The process at @p sender has reported its revision and when that was verified.
    void onPeerRevision(TimePoint now, const Endpoint &sender, quint64 revision, const VerificationAge &verification);

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

    /// Whether to query the source for its revision now; true once for each verification.
    bool takeDueVerification(TimePoint now);

    /// Whether to fetch a newer revision now; true once for each update.
    bool takeDueFetch(TimePoint now);

    /// The process that reported the latest revision; null if it was the source.
    Endpoint updateSource() const
    {
        return m_updateSource;
    }

    /// Whether a fetch reads the source as well: no process has the revision, or the watch of this one has not delivered it.
    bool needsFullRead() const
    {
        return m_isReader || m_updateSource.isNull();
    }

    /// Whether to query peers for their revision now; true once in an interval.
    bool takeDueQuery(TimePoint now);

    /// When one of the decisions may change.
    TimePoint nextDeadline() const;

    // State

    /// The revision of the directory.
    quint64 revision() const
    {
        return m_revision;
    }

    /// Time since the revision was last verified to be the latest.
    Duration age(TimePoint now) const;

    /// The latest verification that peers may take over from this process.
    VerificationAge reportedVerification(TimePoint now) const;

private:
    void recordRevision(TimePoint now, const Endpoint &updateSource, quint64 revision, const VerificationAge &verification);
    void markVerified(TimePoint time, std::size_t hopCount);
    Duration randomDuration(Duration from, Duration to);

    FreshnessMonitorSettings m_settings;
    std::mt19937_64 m_random;
    quint64 m_revision = 0;
    /// The highest revision that was reported by any process or the source.
    quint64 m_latestRevision = 0;
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
