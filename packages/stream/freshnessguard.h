#pragma once

#include "stream/freshnessguardsettings.h"

#include <QtGlobal>

#include <random>

namespace Rattanpick
{

/// Notices that the watch of the directory source has gone deaf: it brings nothing although the source has changed.
///
/// Processes tell each other their revision and how long ago it was verified, so that few calls serve the whole fleet.
class FreshnessGuard
{
public:
    /// Builds a guard that has verified nothing.
    FreshnessGuard(const FreshnessGuardSettings &settings, TimePoint now);

    // Input

    /// The directory has been brought up to the revision.
    void onRevision(TimePoint now, quint64 revision);

    /// The source has told its revision in answer to a verification that was sent at @p sentAt.
    void onVerified(TimePoint now, TimePoint sentAt, quint64 revision);

    /// A verification has failed.
    void onVerificationFailed(TimePoint now);

    /// A peer has the revision, which was verified @p age ago.
    void onPeer(TimePoint now, quint64 revision, Duration age);

    // Decisions

    /// Whether the source is to be asked for its revision now; true once for each verification.
    bool takeVerification(TimePoint now);

    /// Whether everything is to be read again, since the watch did not bring a known change; true once.
    bool takeReading(TimePoint now);

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
    void verifiedAt(TimePoint time);

    FreshnessGuardSettings m_settings;
    std::mt19937_64 m_random;
    quint64 m_revision = 0;
    /// The highest revision that anybody has.
    quint64 m_latestRevision = 0;
    TimePoint m_verifiedAt{};
    TimePoint m_verificationDeadline;
    TimePoint m_readingDeadline = TimePoint::max();
    bool m_isVerifying = false;
};

}
