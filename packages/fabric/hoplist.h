#pragma once

#include "core/assertion.h"
#include "core/endpoint.h"
#include "core/identifiers.h"

#include <array>
#include <cstddef>

namespace Rattanpick
{

/// An agent that may hold a flow: its target and the endpoint of its tunnel socket.
struct Hop
{
    TargetId target{};
    Endpoint endpoint;

    bool operator==(const Hop &) const = default;
};

/// The agents that a packet may be forwarded to, in order, and which of them have processed it.
///
/// Stores its elements inline, so that routing a packet allocates no memory.
class HopList
{
public:
    /// Maximum number of targets: 3 candidates and 2 first candidates of earlier tables.
    static constexpr std::size_t maximumSize = 5;

    /// Appends the hop unless its target is already listed or the list is full.
    void append(const Hop &hop)
    {
        if (m_size == maximumSize || indexOf(hop.target) != maximumSize) {
            return;
        }
        m_hops[m_size++] = hop;
    }

    /// The number of hops.
    std::size_t size() const
    {
        return m_size;
    }

    /// The hop at @p index, which must be below size().
    const Hop &at(std::size_t index) const
    {
        RP_ASSERT(index < m_size);
        return m_hops[index];
    }

    /// The index of the target, or maximumSize if it is not listed.
    std::size_t indexOf(TargetId target) const
    {
        for (std::size_t index = 0; index < m_size; ++index) {
            if (m_hops[index].target == target) {
                return index;
            }
        }
        return maximumSize;
    }

    /// Marks the target as visited; no effect if it is not listed.
    void markVisited(TargetId target)
    {
        const std::size_t index = indexOf(target);
        if (index != maximumSize) {
            m_visited |= static_cast<quint8>(1U << index);
        }
    }

    /// Whether the hop at @p index has processed the packet.
    bool isVisited(std::size_t index) const
    {
        return (m_visited & (1U << index)) != 0;
    }

    /// Whether every hop has processed the packet.
    bool allVisited() const
    {
        return m_visited == (1U << m_size) - 1U;
    }

    /// One bit per hop, set if the hop has processed the packet; bit 0 is the first hop.
    quint8 visitedMask() const
    {
        return m_visited;
    }

    /// Replaces the visited mask; bits beyond size() are ignored.
    void setVisitedMask(quint8 mask)
    {
        m_visited = static_cast<quint8>(mask & ((1U << m_size) - 1U));
    }

    bool operator==(const HopList &) const = default;

private:
    std::array<Hop, maximumSize> m_hops{};
    std::size_t m_size = 0;
    quint8 m_visited = 0;
};

}
