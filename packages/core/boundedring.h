#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>

namespace Rattanpick
{

/// A bounded ring between two duties: one thread pushes, one thread pops.
///
/// A full ring refuses the element and counts it; the pushing duty never blocks.
template <typename Element>
class BoundedRing
{
public:
    /// Builds a ring for at most @p capacity elements.
    explicit BoundedRing(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    /// Appends the element; false and counted if the ring is full.
    bool push(Element element)
    {
        if (m_queue.push(std::move(element))) {
            return true;
        }
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Takes the oldest element; nothing if the ring is empty.
    std::optional<Element> pop()
    {
        Element element;
        if (!m_queue.pop(element)) {
            return std::nullopt;
        }
        return element;
    }

    /// The number of elements refused since the start.
    std::size_t dropped() const
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<Element> m_queue;
    std::atomic<std::size_t> m_dropped = 0;
};

}
