#pragma once

#include <QtGlobal>

#include <atomic>

namespace Rattanpick
{

/// The Lamport clock of a process; safe to use from any thread.
class LamportClock
{
public:
    /// The latest value; 0 before the first tick.
    quint64 value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

    /// Advances the clock for a local event or a message to be sent; the new value.
    quint64 tick()
    {
        return m_value.fetch_add(1, std::memory_order_relaxed) + 1;
    }

    /// Takes in the clock of a received message; every later tick is above it.
    void merge(quint64 received)
    {
        quint64 current = value();
        while (current < received && !m_value.compare_exchange_weak(current, received, std::memory_order_relaxed)) { }
    }

private:
    std::atomic<quint64> m_value = 0;
};

}
