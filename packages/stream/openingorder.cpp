#include "stream/openingorder.h"

#include "core/assertion.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace Rattanpick
{

namespace
{

/// Credit that one release costs.
constexpr int releaseCredit = 100;
/// The less urgent priorities get no more than this share together, so that the most urgent one keeps the other half.
constexpr int shareLimit = 50;

/// Share of each of the less urgent priorities, in percent.
int shareOf(const BalancingSettings &settings, std::size_t lessUrgentCount)
{
    if (lessUrgentCount == 0) {
        return 0;
    }
    return std::min(settings.minimumSharePercent, shareLimit / static_cast<int>(lessUrgentCount));
}

bool canMeetObjective(const OpeningOrder::Conditions &conditions, const OpeningOrder::Times &times)
{
    return conditions.now + conditions.answerTime <= times.objectiveDeadline;
}

}

void OpeningOrder::add(const Position &position, const Times &times)
{
    const bool isNew = m_openings.emplace(position, times).second;
    RP_ASSERT(isNew);
    ++m_counts[position.first];
}

void OpeningOrder::remove(const Position &position)
{
    const std::size_t removed = m_openings.erase(position);
    RP_ASSERT(removed == 1);
    const auto count = m_counts.find(position.first);
    if (--count->second == 0) {
        m_counts.erase(count);
    }
}

OpeningOrder::Position OpeningOrder::release(const Conditions &conditions)
{
    RP_ASSERT(!m_openings.empty());
    const Position position = nextOf(conditions, nextPriority(conditions.settings))->first;
    remove(position);
    return position;
}

OpeningOrder::Position OpeningOrder::last(const Conditions &conditions, int priority) const
{
    RP_ASSERT(m_counts.contains(priority));
    auto last = begin(priority);
    const auto end = this->end(priority);
    if (!isByObjective(conditions.settings, priority)) {
        return conditions.now >= last->second.fifoDeadline ? last->first : std::prev(end)->first;
    }
    for (auto place = last; place != end; ++place) {
        if (!canMeetObjective(conditions, place->second)) {
            // Past their objectives, the latest arrival goes first and the earliest one last.
            return place->first;
        }
        if (place->second.objectiveDeadline >= last->second.objectiveDeadline) {
            last = place;
        }
    }
    return last->first;
}

std::size_t OpeningOrder::countAhead(const Conditions &conditions, int priority, TimePoint objectiveDeadline) const
{
    const Times added{TimePoint::max(), objectiveDeadline};
    const auto first = begin(priority);
    const auto end = this->end(priority);
    const bool hasObjective = conditions.settings.ordersByObjective && objectiveDeadline != TimePoint::max();
    std::size_t ahead = 0;
    if (hasObjective || isByObjective(conditions.settings, priority)) {
        const TimePoint limit = canMeetObjective(conditions, added) ? objectiveDeadline : TimePoint::max();
        ahead = static_cast<std::size_t>(std::count_if(first, end, [&conditions, limit](const auto &opening) {
            return canMeetObjective(conditions, opening.second) && opening.second.objectiveDeadline <= limit;
        }));
    } else if (first != end && conditions.now < first->second.fifoDeadline) {
        ahead = static_cast<std::size_t>(std::distance(first, end));
    }
    return countAll(conditions.settings, priority, ahead);
}

std::size_t OpeningOrder::countAheadOfLast(const Conditions &conditions, int priority) const
{
    return countAll(conditions.settings, priority, m_counts.at(priority) - 1);
}

int OpeningOrder::nextPriority(const BalancingSettings &settings)
{
    const int mostUrgent = m_counts.begin()->first;
    if (settings.minimumSharePercent == 0) {
        m_credits.clear();
        return mostUrgent;
    }
    const int share = shareOf(settings, m_counts.size() - 1);
    int chosen = mostUrgent;
    int highest = releaseCredit - 1;
    for (auto place = std::next(m_counts.begin()); place != m_counts.end(); ++place) {
        int &credit = m_credits[place->first];
        credit += share;
        if (credit > highest) {
            highest = credit;
            chosen = place->first;
        }
    }
    if (chosen != mostUrgent) {
        m_credits[chosen] -= releaseCredit;
    }
    return chosen;
}

OpeningOrder::Openings::const_iterator OpeningOrder::begin(int priority) const
{
    return m_openings.lower_bound({priority, 0});
}

OpeningOrder::Openings::const_iterator OpeningOrder::end(int priority) const
{
    return m_openings.upper_bound({priority, std::numeric_limits<quint64>::max()});
}

bool OpeningOrder::isByObjective(const BalancingSettings &settings, int priority) const
{
    return settings.ordersByObjective
           && std::any_of(begin(priority), end(priority), [](const auto &opening) { return opening.second.objectiveDeadline != TimePoint::max(); });
}

OpeningOrder::Openings::const_iterator OpeningOrder::nextOf(const Conditions &conditions, int priority) const
{
    const auto earliest = begin(priority);
    const auto end = this->end(priority);
    if (!isByObjective(conditions.settings, priority)) {
        return conditions.now < earliest->second.fifoDeadline ? earliest : std::prev(end);
    }
    // The answer time is common to all, so the least slack is the earliest objective deadline.
    auto next = end;
    for (auto place = earliest; place != end; ++place) {
        if (canMeetObjective(conditions, place->second) && (next == end || place->second.objectiveDeadline < next->second.objectiveDeadline)) {
            next = place;
        }
    }
    return next != end ? next : std::prev(end);
}

std::size_t OpeningOrder::countAll(const BalancingSettings &settings, int priority, std::size_t ahead) const
{
    std::size_t moreUrgent = 0;
    std::size_t lessUrgent = 0;
    std::size_t lessUrgentPriorities = 0;
    for (const auto &[other, count] : m_counts) {
        if (other < priority) {
            moreUrgent += count;
        } else if (other > priority) {
            lessUrgent += count;
            ++lessUrgentPriorities;
        }
    }
    std::size_t total = moreUrgent + ahead;
    if (settings.minimumSharePercent == 0) {
        return total;
    }
    if (moreUrgent > 0) {
        const std::size_t others = m_counts.size() - (m_counts.contains(priority) ? 1 : 0);
        const auto share = static_cast<std::size_t>(shareOf(settings, others));
        return share > 0 ? std::min(total, (ahead + 1) * releaseCredit / share) : total;
    }
    const std::size_t share = lessUrgentPriorities * static_cast<std::size_t>(shareOf(settings, lessUrgentPriorities));
    total += std::min(lessUrgent, total * share / (releaseCredit - share));
    return total;
}

}
