#include "core/eventlog.h"

#include "core/assertion.h"

#include <QDateTime>

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <array>

namespace Rattanpick
{

namespace
{

log4cplus::LogLevel logLevelOf(EventLevel level)
{
    constexpr std::array levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
    return levels.at(static_cast<std::size_t>(level));
}

}

void writeEvent(const Event &event)
{
    static const log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("rattanpick.event"));
    const log4cplus::LogLevel level = logLevelOf(eventLevel(event.number));
    // Serialising to JSON costs more than recording, so it is skipped for disabled levels.
    if (!logger.isEnabledFor(level)) {
        return;
    }
    logger.forcedLog(level, event.toJson().toStdString(), __FILE__, __LINE__);
}

EventLog::EventLog(const EventLogSettings &settings)
    : m_settings(settings)
{
    RP_ASSERT(m_settings.eventsKept > 0);
    m_clock.merge(m_settings.lamportStart);
    if (!m_settings.wallClock) {
        m_settings.wallClock = [] {
            return QDateTime::currentMSecsSinceEpoch();
        };
    }
}

Event EventLog::record(EventNumber number, const QString &detail, const QString &flow, quint64 request)
{
    Event event{number, m_settings.process, 0, m_settings.wallClock(), flow, request, detail};
    // Events are stored and written under one lock, so that they are ordered by clock and the sink is never called
    // concurrently.
    const std::scoped_lock lock(m_mutex);
    store(event);
    const TimePoint now = Clock::now();
    if (m_settings.rateLimiter && !m_settings.rateLimiter->take(now, number)) {
        return event;
    }
    write(event);
    if (m_settings.rateLimiter) {
        if (const std::optional<QString> suppressed = m_settings.rateLimiter->takeSuppressed(now)) {
            Event summary{EventNumber::LinesSuppressed, m_settings.process, 0, event.wallMilliseconds, {}, 0, *suppressed};
            store(summary);
            write(summary);
        }
    }
    return event;
}

void EventLog::store(Event &event)
{
    event.lamport = m_clock.tick();
    if (m_events.size() == m_settings.eventsKept) {
        m_events.pop_front();
        ++m_overwritten;
    }
    m_events.push_back(event);
}

void EventLog::write(const Event &event)
{
    if (m_settings.sink) {
        m_settings.sink(event);
    } else {
        writeEvent(event);
    }
}

QList<Event> EventLog::eventsSince(quint64 lamport) const
{
    const std::scoped_lock lock(m_mutex);
    const auto first = std::ranges::upper_bound(m_events, lamport, {}, &Event::lamport);
    return {first, m_events.end()};
}

quint64 EventLog::overwritten() const
{
    const std::scoped_lock lock(m_mutex);
    return m_overwritten;
}

}
