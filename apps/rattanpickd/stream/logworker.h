#pragma once

#include "rattanpickd/wakeup.h"

#include "core/boundedring.h"
#include "core/event.h"

#include <atomic>

namespace Rattanpick
{

/// Writes events, so that no other duty waits for whoever reads standard output.
class LogWorker
{
public:
    /// Builds the duty of the process with the name.
    explicit LogWorker(const QString &process);

    /// Takes an event to be written; one caller at a time. Never blocks: events that find no room are counted.
    void push(const Event &event);

    /// Writes until end() is called and everything is written.
    void run();

    /// Lets run() return once everything is written.
    void end();

private:
    /// A second of the budget's greatest rate, several times over.
    static constexpr std::size_t ringSize = 2048;

    const QString m_process;
    BoundedRing<Event> m_events{ringSize};
    Wakeup m_wakeup;
    std::atomic<bool> m_isEnding = false;
};

}
