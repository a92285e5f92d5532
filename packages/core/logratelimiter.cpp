#include "core/logratelimiter.h"

#include <QStringList>

#include <algorithm>

namespace Rattanpick
{

namespace
{

constexpr Duration reportInterval = 1s;

}

LogRateLimiter::LogRateLimiter(const Limits &limits)
    : m_limits(limits)
{
    for (std::size_t index = 0; index < m_levels.size(); ++index) {
        m_levels[index].lines = m_limits[index].burst;
    }
}

bool LogRateLimiter::take(TimePoint now, EventNumber number)
{
    const auto index = static_cast<std::size_t>(eventLevel(number));
    Level &level = m_levels.at(index);
    const LogRateLimit &limit = m_limits.at(index);
    if (level.refilledAt != TimePoint{}) {
        const double elapsed = std::chrono::duration<double>(now - level.refilledAt).count();
        level.lines = std::min(limit.burst, level.lines + elapsed * limit.linesPerSecond);
    }
    level.refilledAt = now;
    if (level.lines < 1) {
        ++m_suppressed[number];
        return false;
    }
    level.lines -= 1;
    return true;
}

std::optional<QString> LogRateLimiter::takeSuppressed(TimePoint now)
{
    if (m_suppressed.empty() || now < m_reportDeadline) {
        return std::nullopt;
    }
    m_reportDeadline = now + reportInterval;
    QStringList parts;
    for (const auto &[number, count] : m_suppressed) {
        parts.append(eventName(number) + QLatin1Char(' ') + QString::number(count));
    }
    m_suppressed.clear();
    return parts.join(QStringLiteral(", "));
}

}
