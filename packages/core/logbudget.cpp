#include "core/logbudget.h"

#include <QStringList>

#include <algorithm>

namespace Rattanpick
{

namespace
{

constexpr Duration tellInterval = 1s;

}

LogBudget::LogBudget(const Allowances &allowances)
    : m_allowances(allowances)
{
    for (std::size_t index = 0; index < m_levels.size(); ++index) {
        m_levels[index].lines = m_allowances[index].burst;
    }
}

bool LogBudget::take(TimePoint now, EventNumber number)
{
    const auto index = static_cast<std::size_t>(eventLevel(number));
    Level &level = m_levels.at(index);
    const LogAllowance &allowance = m_allowances.at(index);
    if (level.refilledAt != TimePoint{}) {
        const double elapsed = std::chrono::duration<double>(now - level.refilledAt).count();
        level.lines = std::min(allowance.burst, level.lines + elapsed * allowance.linesPerSecond);
    }
    level.refilledAt = now;
    if (level.lines < 1) {
        ++m_suppressed[number];
        return false;
    }
    level.lines -= 1;
    return true;
}

std::optional<QString> LogBudget::takeSuppressed(TimePoint now)
{
    if (m_suppressed.empty() || now < m_tellDeadline) {
        return std::nullopt;
    }
    m_tellDeadline = now + tellInterval;
    QStringList parts;
    for (const auto &[number, count] : m_suppressed) {
        parts.append(eventName(number) + QLatin1Char(' ') + QString::number(count));
    }
    m_suppressed.clear();
    return parts.join(QStringLiteral(", "));
}

}
