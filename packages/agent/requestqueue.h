#pragma once

#include "core/flowkey.h"

#include <QtGlobal>

#include <cstddef>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// Names a request of a flow.
struct RequestId
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 number = 0;

    bool operator==(const RequestId &) const = default;
};

/// The requests that wait for a slot: non-idempotent ones first, oldest first within a class.
///
/// After a number of non-idempotent requests in a row, an idempotent one that waits is taken, so that none starves.
class RequestQueue
{
public:
    /// Builds an empty queue; @p fairnessLimit non-idempotent requests in a row are taken at most while others wait.
    explicit RequestQueue(int fairnessLimit)
        : m_fairnessLimit(fairnessLimit)
    {
    }

    /// Appends a request to its class.
    void append(const RequestId &request, bool isIdempotent);

    /// Takes the next request; nothing if none waits.
    std::optional<RequestId> takeNext();

    /// The number of requests that wait.
    std::size_t size() const
    {
        return m_nonIdempotent.size() + m_idempotent.size();
    }

    /// The number of requests that would go before a new one of the given class.
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
    // Both are short (twice the slots at most), so that erasing at the front of a vector costs less than a list node.
    std::vector<RequestId> m_nonIdempotent;
    std::vector<RequestId> m_idempotent;
    int m_fairnessLimit;
    int m_nonIdempotentInARow = 0;
};

}
