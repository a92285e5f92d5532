#pragma once

#include <QtGlobal>

#include <atomic>

namespace Rattanpick
{

/// A monotonically increasing metric. Thread-safe.
class Counter
{
public:
    /// Adds @p amount.
    void add(quint64 amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /// The current total.
    quint64 value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<quint64> m_value = 0;
};

}
