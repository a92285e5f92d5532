#include "stream/twochoices.h"

#include "core/assertion.h"

#include <algorithm>
#include <cmath>

namespace Rattanpick
{

TwoChoices::TwoChoices(double margin)
    : m_margin(margin)
{
    RP_ASSERT(margin >= 0 && margin < 1);
}

void TwoChoices::add(const Candidate &candidate)
{
    RP_ASSERT(candidate.capacity > 0);
    // The lowest of exponential variates whose rates are the capacities is each target's in proportion to its capacity.
    // A change of one capacity moves only flows from or to that target.
    const double uniform = (static_cast<double>(candidate.hash >> 11) + 0.5) * 0x1p-53;
    if (!candidate.isLocal) {
        m_bestRemoteCost = std::min(m_bestRemoteCost, candidate.cost);
    }
    // -log(u) is at least 1 - u: most targets need no logarithm (29 instead of 35 us for a
    // decision among 51 targets).
    const double highest = candidate.isLocal ? m_local.members.back().draw : m_all.members.back().draw;
    if (1 - uniform >= highest * candidate.capacity) {
        return;
    }
    const Pair::Member member{-std::log(uniform) / candidate.capacity, candidate.cost, candidate.id};
    m_all.add(member);
    if (candidate.isLocal) {
        m_local.add(member);
    }
}

std::array<TargetId, 2> TwoChoices::drawn() const
{
    const bool hasLocalPair = m_local.members[1].draw != infinity;
    const auto local = m_local.ranked(m_margin);
    const auto &ranked = hasLocalPair && local[0].cost <= m_bestRemoteCost ? local : m_all.ranked(m_margin);
    return {ranked[0].id, ranked[1].id};
}

void TwoChoices::Pair::add(const Member &member)
{
    if (member.draw < members[0].draw) {
        members[1] = members[0];
        members[0] = member;
    } else if (member.draw < members[1].draw) {
        members[1] = member;
    }
}

std::array<TwoChoices::Pair::Member, 2> TwoChoices::Pair::ranked(double margin) const
{
    return members[1].cost < members[0].cost * (1 - margin) ? std::array{members[1], members[0]} : members;
}

}
