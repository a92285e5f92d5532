#include "spread/pullschedule.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// Offers remembered: enough to try other peers when some of them fail.
constexpr std::size_t maximumOffers = 8;

/// Pulls at the same time: the first and five more when peers do not answer. With 20% of the pulls lost, 4 at a time
/// left some of 2,800 nodes without the version until the first time-out, which is too late for 4 s.
constexpr std::size_t maximumPulls = 6;

/// The time-out doubles at most this many times, so that a large document passes a slow link. It does so only after
/// more failures in a row than lost messages explain, since long time-outs of lost pulls keep a node from others.
constexpr int maximumDoublings = 3;
constexpr int toleratedFailures = 4;

}

PullSchedule::PullSchedule(const SpreadNodeSettings &settings)
    : m_timeout(settings.pullTimeout)
    , m_hedge(settings.pullHedge)
{
}

void PullSchedule::addOffer(const Endpoint &admin, const ConfigurationVersion &version)
{
    std::erase_if(m_offers, [&admin](const Offer &offer) { return offer.admin == admin; });
    m_offers.push_back({admin, version});
    // The highest version first; the lowest is dropped.
    std::ranges::stable_sort(m_offers, std::ranges::greater{}, &Offer::version);
    if (m_offers.size() > maximumOffers) {
        m_offers.pop_back();
    }
}

void PullSchedule::removeOffersUpTo(const ConfigurationVersion &version)
{
    std::erase_if(m_offers, [&version](const Offer &offer) { return offer.version <= version; });
}

bool PullSchedule::mayStart(TimePoint now) const
{
    return m_pulls.size() < maximumPulls && std::ranges::all_of(m_pulls, [now](const auto &pull) { return now >= pull.second.hedgeDeadline; });
}

std::optional<Endpoint> PullSchedule::startOffered(TimePoint now)
{
    for (const Offer &offer : m_offers) {
        if (start(now, offer.admin)) {
            return offer.admin;
        }
    }
    return std::nullopt;
}

bool PullSchedule::start(TimePoint now, const Endpoint &admin)
{
    const Duration timeout = m_timeout * (1 << std::clamp(m_failuresInARow - toleratedFailures, 0, maximumDoublings));
    return m_pulls.emplace(admin, Pull{now + m_hedge, now + timeout}).second;
}

void PullSchedule::succeed(const Endpoint &admin)
{
    m_pulls.erase(admin);
    m_failuresInARow = 0;
    std::erase_if(m_offers, [&admin](const Offer &offer) { return offer.admin == admin; });
}

void PullSchedule::fail(const Endpoint &admin)
{
    m_pulls.erase(admin);
    ++m_failuresInARow;
    ++m_failures;
    std::erase_if(m_offers, [&admin](const Offer &offer) { return offer.admin == admin; });
}

void PullSchedule::expire(TimePoint now)
{
    std::vector<Endpoint> expired;
    for (const auto &[admin, pull] : m_pulls) {
        if (now >= pull.deadline) {
            expired.push_back(admin);
        }
    }
    for (const Endpoint &admin : expired) {
        fail(admin);
    }
}

}
