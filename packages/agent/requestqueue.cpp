#include "agent/requestqueue.h"

namespace Rattanpick
{

void RequestQueue::append(const RequestId &request, bool isIdempotent)
{
    (isIdempotent ? m_idempotent : m_nonIdempotent).push_back(request);
}

std::optional<RequestId> RequestQueue::takeNext()
{
    const bool isIdempotentTurn = m_nonIdempotent.empty() || (m_nonIdempotentInARow >= m_fairnessLimit && !m_idempotent.empty());
    std::vector<RequestId> &queue = isIdempotentTurn ? m_idempotent : m_nonIdempotent;
    if (queue.empty()) {
        return std::nullopt;
    }
    m_nonIdempotentInARow = isIdempotentTurn ? 0 : m_nonIdempotentInARow + 1;
    const RequestId request = queue.front();
    queue.erase(queue.begin());
    return request;
}

}
