#include "spread/pullschedule.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// Recorded offers: enough to try other peers when some of them fail.
constexpr std::size_t maximumOffers = 8;

/// Concurrent pulls: the first and up to five hedged ones. With 20% of the pulls lost, 4 concurrent pulls left some of
/// 2,800 nodes without the version until the first timeout, too late for the target of 4 s.
constexpr std::size_t maximumPulls = 6;

/// The timeout doubles at most this many times, so that a large document passes a slow link. It doubles only after more
/// consecutive failures than message loss explains, since long timeouts of lost pulls keep a node from trying others.
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
    // Highest version first; the lowest is discarded when the list is full.
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
    const Duration timeout = m_timeout * (1 << std::clamp(m_consecutiveFailures - toleratedFailures, 0, maximumDoublings));
    return m_pulls.emplace(admin, Pull{now + m_hedge, now + timeout}).second;
}

void PullSchedule::succeed(const Endpoint &admin)
{
    m_pulls.erase(admin);
    m_consecutiveFailures = 0;
    std::erase_if(m_offers, [&admin](const Offer &offer) { return offer.admin == admin; });
}

void PullSchedule::fail(const Endpoint &admin)
{
    m_pulls.erase(admin);
    ++m_consecutiveFailures;
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
