#pragma once

#include "core/timepoint.h"
#include "stream/balancingsettings.h"

#include <QtGlobal>

#include <cstddef>
#include <map>
#include <utility>

namespace Rattanpick
{

/// Decides which queued opening is released next: by priority, by the objectives of the routes and by the minimum share of less
/// urgent priorities.
class OpeningOrder
{
public:
    /// Priority and sequence number of the arrival.
    using Position = std::pair<int, quint64>;

    /// The times of an opening that decide its place within its priority.
    struct Times
    {
        /// After this time, later openings of the same priority go first, unless they are ordered by objective.
        TimePoint fifoDeadline;
        /// Until when an answer is worth its full value; the maximum if the route has no objective.
        TimePoint objectiveDeadline = TimePoint::max();

        bool operator==(const Times &) const = default;
    };

    /// What the order depends on besides the openings.
    struct Conditions
    {
        TimePoint now;
        /// Expected time from the release of an opening until its answer.
        Duration answerTime{};
        BalancingSettings settings;

        bool operator==(const Conditions &) const = default;
    };

    /// Adds an opening; its position must be free.
    void add(const Position &position, const Times &times);

    /// Removes an opening without releasing it.
    void remove(const Position &position);

    /// Removes the opening that is next and counts its release; there must be one.
    Position release(const Conditions &conditions);

    /// The opening of the priority that is released last; the priority must have one. Only for the order by objective.
    Position last(const Conditions &conditions, int priority) const;

    /// Openings that go before a new one of the priority.
    std::size_t countAhead(const Conditions &conditions, int priority, TimePoint objectiveDeadline) const;

    /// Openings that go before the last one of the priority.
    std::size_t countAheadOfLast(const Conditions &conditions, int priority) const;

    /// Number of waiting openings by priority.
    const std::map<int, std::size_t> &counts() const
    {
        return m_counts;
    }

private:
    using Openings = std::map<Position, Times>;

    int nextPriority(const BalancingSettings &settings);
    Openings::const_iterator begin(int priority) const;
    Openings::const_iterator end(int priority) const;
    /// Whether the openings of the priority are ordered by objective; none has an objective if the configuration sets none.
    bool isByObjective(const BalancingSettings &settings, int priority) const;
    Openings::const_iterator nextOf(const Conditions &conditions, int priority) const;
    /// Adds the openings of other priorities that go before the one with @p ahead openings of its own priority before it.
    std::size_t countAll(const BalancingSettings &settings, int priority, std::size_t ahead) const;

    Openings m_openings;
    std::map<int, std::size_t> m_counts;
    /// Releases that less urgent priorities have gained while they waited, in hundredths.
    std::map<int, int> m_credits;
};

}
