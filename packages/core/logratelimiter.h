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

/// Bounds the volume of a log: each level has an limit, and what exceeds it is counted.
class LogRateLimiter
{
public:
    /// Limits by level, from debug to error.
    using Limits = std::array<LogRateLimit, 4>;

    /// Flows of callers make the debug lines, changes of belief the others. A balancer of 0.028 of a core spends about a
    /// tenth of it on the lines of a second at these rates.
    static constexpr Limits defaultLimits{LogRateLimit{20, 60}, LogRateLimit{40, 400}, LogRateLimit{40, 200}, LogRateLimit{40, 200}};

    /// Builds a budget that is full.
    explicit LogRateLimiter(const Limits &limits = defaultLimits);

    /// Whether a line of the event may be written now; otherwise it is counted as suppressed.
    bool tryAcquire(TimePoint now, EventNumber number);

    /// What was suppressed, as "FlowOpened 35, FlowClosed 2", once a second at most; nothing if there is nothing to tell.
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
