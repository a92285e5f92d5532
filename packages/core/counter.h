#pragma once

#include <QtGlobal>

#include <atomic>

namespace Rattanpick
{

/// A number that only rises; safe to use from any thread.
class Counter
{
public:
    /// Adds @p amount.
    void add(quint64 amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /// The sum so far.
    quint64 value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<quint64> m_value = 0;
};

}
