#pragma once

#include "core/configurationversion.h"
#include "core/endpoint.h"
#include "core/timepoint.h"
#include "spread/spreadnodesettings.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Chooses the peers to pull documents from: at most one pull per peer at a time, and hedged pulls from further peers
/// only while the earlier ones do not answer in time.
class PullSchedule
{
public:
    /// Builds a schedule without offers.
    explicit PullSchedule(const SpreadNodeSettings &settings);

    /// Records that a peer has a version that this node lacks.
    void addOffer(const Endpoint &admin, const ConfigurationVersion &version);

    /// Discards the offers of versions up to the given one.
    void removeOffersUpTo(const ConfigurationVersion &version);

    /// Whether a pull may start: none is in progress, or every one has been unanswered for the hedge delay.
    bool mayStart(TimePoint now) const;

    /// Starts a pull from the best offering peer without a pull in progress; nullopt if there is none.
    std::optional<Endpoint> startOffered(TimePoint now);

    /// Starts a pull without an offer; false if a pull from this peer is in progress.
    bool start(TimePoint now, const Endpoint &admin);

    /// Records that the pull from the peer succeeded.
    void succeed(const Endpoint &admin);

    /// Records that the pull from the peer failed, and discards the peer's offer.
    void fail(const Endpoint &admin);

    /// Marks the pulls that have timed out as failed.
    void expire(TimePoint now);

    /// Pulls that failed or timed out since the start.
    quint64 failures() const
    {
        return m_failures;
    }

private:
    struct Offer
    {
        Endpoint admin;
        ConfigurationVersion version;
    };

    struct Pull
    {
        /// No other peer is asked until then.
        TimePoint hedgeDeadline{};
        TimePoint deadline{};
    };

    Duration m_timeout;
    Duration m_hedge;
    int m_consecutiveFailures = 0;
    quint64 m_failures = 0;
    std::vector<Offer> m_offers;
    std::unordered_map<Endpoint, Pull> m_pulls;
};

}
