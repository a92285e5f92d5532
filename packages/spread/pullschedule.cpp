#include "spread/pullschedule.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// Offers remembered: enough to try other peers when some of them fail.
constexpr std::size_t maximumOffers = 8;

/// Pulls at the same time: the first and two more when peers do not answer.
constexpr std::size_t maximumPulls = 3;

/// The time-out doubles at most this many times, so that a large document passes a slow link.
constexpr int maximumDoublings = 4;

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

std::optional<Endpoint> PullSchedule::startNext(TimePoint now)
{
    if (m_pulls.size() >= maximumPulls) {
        return std::nullopt;
    }
    for (const auto &[admin, pull] : m_pulls) {
        if (now < pull.hedgeDeadline) {
            return std::nullopt;
        }
    }
    for (const Offer &offer : m_offers) {
        if (start(now, offer.admin)) {
            return offer.admin;
        }
    }
    return std::nullopt;
}

bool PullSchedule::start(TimePoint now, const Endpoint &admin)
{
    const Duration timeout = m_timeout * (1 << std::min(m_failuresInARow, maximumDoublings));
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

bool PullSchedule::expire(TimePoint now)
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
    return !expired.empty();
}

}
