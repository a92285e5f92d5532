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

/// Chooses the peers to pull documents from: at most one pull at a time for each peer, and a second peer only when
/// the first does not answer in time.
class PullSchedule
{
public:
    /// Builds a schedule without peers.
    explicit PullSchedule(const SpreadNodeSettings &settings);

    /// A peer has a version that this node lacks.
    void addOffer(const Endpoint &admin, const ConfigurationVersion &version);

    /// Offers up to the version are void.
    void removeOffersUpTo(const ConfigurationVersion &version);

    /// Whether a pull may start: none is under way, or those under way have not been answered for a while.
    bool mayStart(TimePoint now) const;

    /// Starts a pull from an offered peer without one under way; nothing if there is none.
    std::optional<Endpoint> startOffered(TimePoint now);

    /// Starts a pull without an offer; false if one from this peer is under way.
    bool start(TimePoint now, const Endpoint &admin);

    /// A pull brought an answer.
    void succeed(const Endpoint &admin);

    /// A pull failed; the peer's offer is void.
    void fail(const Endpoint &admin);

    /// Ends the pulls whose time is over as failed.
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
        /// Until then no other peer is asked.
        TimePoint hedgeDeadline{};
        TimePoint deadline{};
    };

    Duration m_timeout;
    Duration m_hedge;
    int m_failuresInARow = 0;
    quint64 m_failures = 0;
    std::vector<Offer> m_offers;
    std::unordered_map<Endpoint, Pull> m_pulls;
};

}
