#pragma once

#include "core/flowkey.h"
#include "core/timepoint.h"
#include "stream/openingorder.h"
#include "stream/streammessage.h"

#include <QtGlobal>

#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Openings that wait for a busy target, in the order of OpeningOrder.
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
        /// When the opening is removed from the queue, unless openings are ordered by objective.
        TimePoint deadline;
        /// When the caller stops waiting for its answer.
        TimePoint answerDeadline = TimePoint::max();
        /// Until when an answer is worth its full value; the maximum if the route has no objective.
        TimePoint objectiveDeadline = TimePoint::max();
    };

    /// Appends an opening; its flow must not be queued already.
    void add(const Entry &entry);

    /// Replaces the message of a queued flow, which keeps its place.
    void replaceMessage(const FlowKey &flow, const StreamMessage &message);

    /// Takes the opening that is next; nothing if the queue is empty. With the settings off, it is the most urgent one.
    /// Within a priority the order is FIFO, but LIFO once the earliest opening is past its fifoDeadline: the callers of
    /// later openings are more likely to be still waiting.
    std::optional<Entry> take(const OpeningOrder::Conditions &conditions);

    /// take() with the settings off.
    std::optional<Entry> take(TimePoint now)
    {
        return take(OpeningOrder::Conditions{now, {}, {}});
    }

    /// Takes the opening with the least prospect: the earliest one of the least urgent priority, if it is past its
    /// fifoDeadline. Nothing if all are more urgent than @p priority or none has waited that long.
    std::optional<Entry> takeLast(TimePoint now, int priority);

    /// Takes the openings that have reached their deadline.
    std::vector<Entry> takeExpired(TimePoint now);

    /// Takes the openings that cannot be answered before their answerDeadline: if released now they need @p serviceTime, and the
    /// last one of each priority waits for those before it, for @p releaseInterval each after @p firstWait.
    std::vector<Entry> takeHopeless(const OpeningOrder::Conditions &conditions, Duration serviceTime, Duration firstWait, Duration releaseInterval);

    /// Whether the flow is queued.
    bool contains(const FlowKey &flow) const
    {
        return m_positions.contains(flow);
    }

    /// Queued openings with the same or a more urgent priority.
    std::size_t countAhead(int priority) const;

    /// Queued openings that go before a new one.
    std::size_t countAhead(const OpeningOrder::Conditions &conditions, int priority, TimePoint objectiveDeadline) const
    {
        return m_order.countAhead(conditions, priority, objectiveDeadline);
    }

    /// Queued openings.
    std::size_t size() const
    {
        return m_entries.size();
    }

    /// The earliest deadline.
    TimePoint nextDeadline() const;

    /// The earliest answerDeadline.
    TimePoint nextAnswerDeadline() const;

private:
    using Position = OpeningOrder::Position;

    Entry takeAt(std::map<Position, Entry>::iterator place);

    std::map<Position, Entry> m_entries;
    std::unordered_map<FlowKey, Position> m_positions;
    OpeningOrder m_order;
    quint64 m_arrivals = 0;
};

}
