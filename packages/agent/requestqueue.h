#pragma once

#include "core/flowkey.h"

#include <QtGlobal>

#include <cstddef>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// Identifies a request of a flow.
struct RequestId
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 number = 0;

    bool operator==(const RequestId &) const = default;
};

/// Requests that wait for a slot: non-idempotent ones first, oldest first within a class.
///
/// After a number of consecutive non-idempotent requests a waiting idempotent one is taken, which prevents starvation.
class RequestQueue
{
public:
    /// Builds an empty queue; at most @p fairnessLimit consecutive non-idempotent requests are taken while others wait.
    explicit RequestQueue(int fairnessLimit)
        : m_fairnessLimit(fairnessLimit)
    {
    }

    /// Appends a request to its class.
    void append(const RequestId &request, bool isIdempotent);

    /// Removes and returns the next request; empty if none waits.
    std::optional<RequestId> takeNext();

    /// The number of waiting requests.
    std::size_t size() const
    {
        return m_nonIdempotent.size() + m_idempotent.size();
    }

    /// The number of requests that would be taken before a new one of the given class.
    std::size_t sizeBefore(bool isIdempotent) const
    {
        return isIdempotent ? size() : m_nonIdempotent.size();
    }

    /// Removes every request for which @p predicate is true.
    template <typename Predicate>
    void removeIf(Predicate predicate)
    {
        std::erase_if(m_nonIdempotent, predicate);
        std::erase_if(m_idempotent, predicate);
    }

private:
    // Both are short (at most twice the slots), so that erasing at the front of a vector is cheaper than a list node.
    std::vector<RequestId> m_nonIdempotent;
    std::vector<RequestId> m_idempotent;
    int m_fairnessLimit;
    int m_nonIdempotentInARow = 0;
};

}
