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
}

void OpeningQueue::replaceMessage(const FlowKey &flow, const StreamMessage &message)
{
    RP_ASSERT(contains(flow));
    m_entries.at(m_positions.at(flow)).message = message;
}

std::optional<OpeningQueue::Entry> OpeningQueue::take(TimePoint now)
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    const auto earliest = m_entries.begin();
    if (now < earliest->second.fifoDeadline) {
        return takeAt(earliest);
    }
    const auto behind = m_entries.upper_bound({earliest->first.first, m_arrivals});
    return takeAt(std::prev(behind));
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

OpeningQueue::Entry OpeningQueue::takeAt(std::map<Position, Entry>::iterator place)
{
    Entry entry = std::move(place->second);
    m_positions.erase(entry.flow);
    m_entries.erase(place);
    return entry;
}

}
