#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>

namespace Rattanpick
{

/// A bounded single-producer, single-consumer queue between two threads.
///
/// A full ring drops the new element and counts it; the producer never blocks.
template <typename Element>
class BoundedRing
{
public:
    /// Creates a ring that holds at most @p capacity elements.
    explicit BoundedRing(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    /// Appends the element. Returns false and counts the element as dropped if the ring is full.
    bool push(Element element)
    {
        if (m_queue.push(std::move(element))) {
            return true;
        }
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Removes and returns the oldest element, or nothing if the ring is empty.
    std::optional<Element> pop()
    {
        Element element;
        if (!m_queue.pop(element)) {
            return std::nullopt;
        }
        return element;
    }

    /// The number of elements dropped since construction.
    std::size_t dropped() const
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<Element> m_queue;
    std::atomic<std::size_t> m_dropped = 0;
};

}
