#include "stream/loadestimate.h"

#include "core/assertion.h"

#include <algorithm>
#include <cmath>

namespace Rattanpick
{

namespace
{

/// Service times after which a count has faded to 1/e. The requests of a count end after one service time on an idle
/// target, and the queue of a busy one outlasts them.
constexpr double fadeServiceTimes = 3;
/// Time constants after which a count is ignored. Most counts are older; leaving out the exponential for them saves a
/// quarter of the time of a decision.
constexpr double negligibleAge = 7;

}

void LoadEstimate::onReport(TimePoint now, const LoadReport &load, double serviceSeconds)
{
    RP_ASSERT(serviceSeconds > 0);
    m_counted = load.requestsInProgress;
    m_relevance = 1;
    m_fadePerSecond = 1 / (fadeServiceTimes * serviceSeconds);
    m_changedAt = now;
}

void LoadEstimate::onOffered(TimePoint now)
{
    const double share = fade(now);
    m_counted = m_counted * share + 1;
    m_relevance *= share;
    m_changedAt = now;
}

double LoadEstimate::requestsInProgress(TimePoint now, double mean) const
{
    const double share = fade(now);
    return m_counted * share + mean * (1 - m_relevance * share);
}

double LoadEstimate::fade(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_changedAt).count();
    const double age = std::max(elapsed, 0.0) * m_fadePerSecond;
    return age < negligibleAge ? std::exp(-age) : 0;
}

}
