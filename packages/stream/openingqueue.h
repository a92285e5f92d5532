#pragma once

#include "core/flowkey.h"
#include "core/timepoint.h"
#include "stream/streammessage.h"

#include <QtGlobal>

#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Openings that wait for a busy target, ordered by priority.
///
/// A target refuses requests beyond its own short queue, and each refusal costs the caller one of its few attempts.
/// Waiting here costs the caller nothing.
class OpeningQueue
{
public:
    /// A queued opening.
    struct Entry
    {
        FlowKey flow;
        StreamMessage message;
        /// 0 is the most urgent.
        int priority = 0;
        TimePoint arrival;
        /// After this time, later openings of the same priority go first.
        TimePoint fifoDeadline;
        /// When the opening is removed from the queue.
        TimePoint deadline;
    };

    /// Appends an opening; its flow must not be queued already.
    void add(const Entry &entry);

    /// Replaces the message of a queued flow, which keeps its place.
    void replaceMessage(const FlowKey &flow, const StreamMessage &message);

    /// Takes the most urgent opening; nothing if the queue is empty. Within a priority the order is FIFO, but LIFO once
    /// the earliest opening is past its fifoDeadline: the callers of later openings are more likely to be still
    /// waiting.
    std::optional<Entry> take(TimePoint now);

    /// Takes the opening with the least prospect: the earliest one of the least urgent priority, if it is past its
    /// fifoDeadline. Nothing if all are more urgent than @p priority or none has waited that long.
    std::optional<Entry> takeLast(TimePoint now, int priority);

    /// Takes the openings that have reached their deadline.
    std::vector<Entry> takeExpired(TimePoint now);

    /// Whether the flow is queued.
    bool contains(const FlowKey &flow) const
    {
        return m_positions.contains(flow);
    }

    /// Queued openings with the same or a more urgent priority.
    std::size_t countAhead(int priority) const;

    /// Queued openings.
    std::size_t size() const
    {
        return m_entries.size();
    }

    /// The earliest deadline.
    TimePoint nextDeadline() const;

private:
    /// Priority and sequence number of the arrival.
    using Position = std::pair<int, quint64>;

    Entry takeAt(std::map<Position, Entry>::iterator place);

    std::map<Position, Entry> m_entries;
    std::unordered_map<FlowKey, Position> m_positions;
    quint64 m_arrivals = 0;
};

}
