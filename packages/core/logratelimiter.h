#pragma once

#include "core/event.h"
#include "core/timepoint.h"

#include <QString>

#include <array>
#include <map>
#include <optional>

namespace Rattanpick
{

/// How many lines of a level may be written.
struct LogRateLimit
{
    double linesPerSecond = 0;
    /// Lines that may come at once after a quiet time.
    double burst = 0;

    bool operator==(const LogRateLimit &) const = default;
};

/// Limits the volume of a log with a token bucket for each level and counts the suppressed lines.
class LogRateLimiter
{
public:
    /// Rate limits indexed by level, from debug to error.
    using Limits = std::array<LogRateLimit, 4>;

    /// Debug lines come from flows of callers, the others from changes of the state that a process assumes. At these
    /// rates, a balancer that uses 0.028 of a core spends about a tenth of that on writing log lines.
    static constexpr Limits defaultLimits{LogRateLimit{20, 60}, LogRateLimit{40, 400}, LogRateLimit{40, 200}, LogRateLimit{40, 200}};

    /// Creates a rate limiter whose buckets are full.
    explicit LogRateLimiter(const Limits &limits = defaultLimits);

    /// Whether a line of the event may be written now; otherwise it is counted as suppressed.
    bool take(TimePoint now, EventNumber number);

    /// Returns and resets the counts of suppressed lines, as "FlowOpened 35, FlowClosed 2". Returns nothing if no line
    /// was suppressed, and at most one summary per second.
    std::optional<QString> takeSuppressed(TimePoint now);

private:
    struct Level
    {
        double lines = 0;
        TimePoint refilledAt{};
    };

    Limits m_limits;
    std::array<Level, 4> m_levels;
    std::map<EventNumber, quint64> m_suppressed;
    TimePoint m_reportDeadline{};
};

}
