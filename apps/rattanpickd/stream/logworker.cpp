#include "rattanpickd/stream/logworker.h"

#include "core/eventlog.h"

#include <QDateTime>

namespace Rattanpick
{

namespace
{

/// Lines are written in batches, because a wake-up costs more than a line.
constexpr Duration batchInterval = 50ms;
constexpr Duration waitLimit = 10s;

}

LogWorker::LogWorker(const QString &process)
    : m_process(process)
{
}

void LogWorker::push(const Event &event)
{
    if (m_events.push(event)) {
        m_wakeup.notify();
    }
}

void LogWorker::run()
{
    Wakeup pause;
    std::size_t reported = 0;
    while (true) {
        m_wakeup.arm();
        const bool isTerminating = m_isTerminating;
        while (const std::optional<Event> event = m_events.pop()) {
            writeEvent(*event);
        }
        if (const std::size_t dropped = m_events.dropped(); dropped > reported) {
            writeEvent(
                {EventNumber::RingFull, m_process, 0, QDateTime::currentMSecsSinceEpoch(), {}, 0, QStringLiteral("%1 log lines").arg(dropped - reported)});
            reported = dropped;
        }
        if (isTerminating) {
            return;
        }
        m_wakeup.wait(waitLimit);
        if (!m_isTerminating) {
            pause.wait(batchInterval);
        }
    }
}

void LogWorker::finish()
{
    m_isTerminating = true;
    m_wakeup.notify();
}

}
