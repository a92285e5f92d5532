#pragma once

#include "rattanpickd/wakeup.h"

#include "core/boundedring.h"
#include "core/event.h"

#include <atomic>

namespace Rattanpick
{

/// Writes events, so that no other worker blocks on a slow reader of standard output.
class LogWorker
{
public:
    /// @p process is the name of the process; it appears in events about dropped log lines.
    explicit LogWorker(const QString &process);

    /// Queues an event; only one thread may push at a time. Never blocks: events that do not fit are dropped and counted.
    void push(const Event &event);

    /// Writes until finish() is called and everything is written.
    void run();

    /// Lets run() return once everything is written.
    void finish();

private:
    /// Several seconds of events at the highest rate that the log budget allows.
    static constexpr std::size_t ringSize = 2048;

    const QString m_process;
    BoundedRing<Event> m_events{ringSize};
    Wakeup m_wakeup;
    std::atomic<bool> m_isTerminating = false;
};

}
