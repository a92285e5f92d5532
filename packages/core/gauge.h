#pragma once

#include <QtGlobal>

#include <atomic>

namespace Rattanpick
{

/// A metric that can increase and decrease. Thread-safe.
class Gauge
{
public:
    void set(qint64 value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    /// Adds @p amount, which may be negative.
    void add(qint64 amount)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /// The current value.
    qint64 value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<qint64> m_value = 0;
};

}
