#include "stream/twochoices.h"

#include "core/assertion.h"

#include <algorithm>
#include <cmath>

namespace Rattanpick
{

void TwoChoices::add(const Candidate &candidate)
{
    RP_ASSERT(candidate.capacity > 0);
    // The lowest of exponential variates whose rates are the capacities is each target's in proportion to its capacity.
    // A change of one capacity moves only flows from or to that target.
    const double uniform = (static_cast<double>(candidate.hash >> 11) + 0.5) * 0x1p-53;
    const Pair::Member member{-std::log(uniform) / candidate.capacity, candidate.cost, candidate.id};
    m_all.add(member);
    if (candidate.isLocal) {
        m_local.add(member);
    } else {
        m_bestRemoteCost = std::min(m_bestRemoteCost, candidate.cost);
    }
}

std::array<TargetId, 2> TwoChoices::drawn() const
{
    const bool hasLocalPair = m_local.members[1].draw != infinity;
    const auto local = m_local.ranked();
    const auto &ranked = hasLocalPair && local[0].cost <= m_bestRemoteCost ? local : m_all.ranked();
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

std::array<TwoChoices::Pair::Member, 2> TwoChoices::Pair::ranked() const
{
    return members[1].cost < members[0].cost ? std::array{members[1], members[0]} : members;
}

}
