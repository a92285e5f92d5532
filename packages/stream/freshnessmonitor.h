#pragma once

#include "core/endpoint.h"
#include "stream/freshnessmonitorsettings.h"

#include <QtGlobal>

#include <random>

namespace Rattanpick
{

/// Keeps a process from deciding on an outdated directory: finds news that peers have, and watches that have gone deaf.
///
/// Processes tell each other their revision and how long ago it was verified, so that few calls serve the whole fleet.
class FreshnessMonitor
{
public:
    /// Builds a guard that has verified nothing.
    FreshnessMonitor(const FreshnessMonitorSettings &settings, TimePoint now);

    // Input

    /// The directory has been brought up to the revision, by the source itself or by a peer.
    void onRevision(TimePoint now, quint64 revision, bool isFromSource);

    /// The source has told its revision in answer to a verification that was sent at @p sentAt.
    void onVerified(TimePoint now, TimePoint sentAt, quint64 revision);

    /// A verification has failed.
    void onVerificationFailed(TimePoint now);

    /// The process at @p sender has the revision, which was verified @p age ago.
    void onPeerRevision(TimePoint now, const Endpoint &sender, quint64 revision, Duration age);

    /// Whether this process watches the source for others.
    void setReader(bool isReader)
    {
        m_isReader = isReader;
    }

    /// Whether this process knows nobody whom it could ask.
    void setIsolated(bool isIsolated)
    {
        m_isAlone = isIsolated;
    }

    // Decisions

    /// Whether the source is to be asked for its revision now; true once for each verification.
    bool takeDueVerification(TimePoint now);

    /// Whether what others know is to be fetched now; true once for each piece of news.
    bool takeDueFetch(TimePoint now);

    /// The process that told of the latest revision; null if the source itself did, or if this process is a reader.
    Endpoint updateSource() const
    {
        return m_isReader ? Endpoint{} : m_informant;
    }

    /// Whether others are to be asked now how fresh they are; true once in an interval.
    bool takeDueQuery(TimePoint now);

    /// When one of the decisions may change.
    TimePoint nextDeadline() const;

    // State

    /// The revision that the directory has reached.
    quint64 revision() const
    {
        return m_revision;
    }

    /// How long ago the revision was known to be the latest.
    Duration age(TimePoint now) const;

private:
    void learn(TimePoint now, const Endpoint &updateSource, quint64 revision, Duration age);
    void verifiedAt(TimePoint time);
    Duration randomDuration(Duration from, Duration to);

    FreshnessMonitorSettings m_settings;
    std::mt19937_64 m_random;
    quint64 m_revision = 0;
    /// The highest revision that anybody has.
    quint64 m_latestRevision = 0;
    TimePoint m_verifiedAt{};
    TimePoint m_verificationDeadline;
    TimePoint m_fetchDeadline = TimePoint::max();
    TimePoint m_questionDeadline;
    Endpoint m_informant;
    bool m_isVerifying = false;
    bool m_isReader = false;
    bool m_isAlone = true;
};

}
