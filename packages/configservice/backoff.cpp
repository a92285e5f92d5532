#include "configservice/backoff.h"

#include "core/assertion.h"

#include <algorithm>

namespace Rattanpick
{

Backoff::Backoff(Duration minimum, Duration maximum)
    : m_minimum(minimum)
    , m_maximum(maximum)
    , m_bound(minimum)
{
    RP_ASSERT(minimum > Duration::zero() && minimum <= maximum);
}

void Backoff::fail(TimePoint now, std::mt19937_64 &random)
{
    m_deadline = now + randomDuration(m_bound, random);
    m_bound = std::min(m_maximum, m_bound * 2);
}

void Backoff::succeed()
{
    m_bound = m_minimum;
    m_deadline = TimePoint{};
}

Duration randomDuration(Duration bound, std::mt19937_64 &random)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, bound.count())(random));
}

}
