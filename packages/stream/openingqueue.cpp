#include "stream/openingqueue.h"

#include "core/assertion.h"

#include <algorithm>

namespace Rattanpick
{

void OpeningQueue::add(const Entry &entry)
{
    RP_ASSERT(!contains(entry.flow));
    const Position position{entry.priority, m_arrivals++};
    m_entries.emplace(position, entry);
    m_positions.emplace(entry.flow, position);
    m_order.add(position, {entry.fifoDeadline, entry.objectiveDeadline});
}

void OpeningQueue::replaceMessage(const FlowKey &flow, const StreamMessage &message)
{
    RP_ASSERT(contains(flow));
    m_entries.at(m_positions.at(flow)).message = message;
}

std::optional<OpeningQueue::Entry> OpeningQueue::take(const OpeningOrder::Conditions &conditions)
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    const Position position = m_order.release(conditions);
    Entry entry = std::move(m_entries.at(position));
    m_positions.erase(entry.flow);
    m_entries.erase(position);
    return entry;
}

std::optional<OpeningQueue::Entry> OpeningQueue::takeLast(TimePoint now, int priority)
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    const int leastUrgent = m_entries.rbegin()->first.first;
    const auto earliest = m_entries.lower_bound({leastUrgent, 0});
    if (leastUrgent < priority || now < earliest->second.fifoDeadline) {
        return std::nullopt;
    }
    return takeAt(earliest);
}

std::vector<OpeningQueue::Entry> OpeningQueue::takeExpired(TimePoint now)
{
    std::vector<Entry> expired;
    for (auto place = m_entries.begin(); place != m_entries.end();) {
        const auto current = place++;
        if (now >= current->second.deadline) {
            expired.push_back(takeAt(current));
        }
    }
    return expired;
}

std::vector<OpeningQueue::Entry>
OpeningQueue::takeHopeless(const OpeningOrder::Conditions &conditions, Duration serviceTime, Duration firstWait, Duration releaseInterval)
{
    std::vector<Entry> hopeless;
    for (auto place = m_entries.begin(); place != m_entries.end();) {
        const auto current = place++;
        if (conditions.now + serviceTime >= current->second.answerDeadline) {
            hopeless.push_back(takeAt(current));
        }
    }
    // The last opening of a priority has the least prospect: one past its objective that has waited longest, if there is one.
    const std::map<int, std::size_t> &counts = m_order.counts();
    for (auto place = counts.begin(); place != counts.end();) {
        const int priority = place->first;
        while (counts.contains(priority)) {
            const auto last = m_entries.find(m_order.last(conditions, priority));
            const Duration wait = firstWait + releaseInterval * m_order.countAheadOfLast(conditions, priority);
            if (conditions.now + wait + serviceTime < last->second.answerDeadline) {
                break;
            }
            hopeless.push_back(takeAt(last));
        }
        place = counts.upper_bound(priority);
    }
    return hopeless;
}

std::size_t OpeningQueue::countAhead(int priority) const
{
    const auto end = m_entries.upper_bound({priority, m_arrivals});
    return static_cast<std::size_t>(std::distance(m_entries.begin(), end));
}

TimePoint OpeningQueue::nextDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[position, entry] : m_entries) {
        next = std::min(next, entry.deadline);
    }
    return next;
}

TimePoint OpeningQueue::nextAnswerDeadline() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[position, entry] : m_entries) {
        next = std::min(next, entry.answerDeadline);
    }
    return next;
}

OpeningQueue::Entry OpeningQueue::takeAt(std::map<Position, Entry>::iterator place)
{
    m_order.remove(place->first);
    Entry entry = std::move(place->second);
    m_positions.erase(entry.flow);
    m_entries.erase(place);
    return entry;
}

}
