#pragma once

#include <QtGlobal>

#include <atomic>

namespace Rattanpick
{

/// The Lamport clock of a process. Thread-safe.
class LamportClock
{
public:
    /// The current value; 0 before the first tick.
    quint64 value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

    /// Advances the clock for a local event or an outgoing message and returns the new value.
    quint64 tick()
    {
        return m_value.fetch_add(1, std::memory_order_relaxed) + 1;
    }

    /// Merges the clock of a received message; all later ticks return a greater value.
    void merge(quint64 received)
    {
        quint64 current = value();
        while (current < received && !m_value.compare_exchange_weak(current, received, std::memory_order_relaxed)) { }
    }

private:
    std::atomic<quint64> m_value = 0;
};

}
