#include "agent/requestqueue.h"

namespace Rattanpick
{

void RequestQueue::append(const RequestId &request, bool isIdempotent)
{
    (isIdempotent ? m_patient : m_urgent).push_back(request);
}

std::optional<RequestId> RequestQueue::takeNext()
{
    const bool isPatientTurn = m_urgent.empty() || (m_urgentInARow >= m_fairnessLimit && !m_patient.empty());
    std::vector<RequestId> &queue = isPatientTurn ? m_patient : m_urgent;
    if (queue.empty()) {
        return std::nullopt;
    }
    m_urgentInARow = isPatientTurn ? 0 : m_urgentInARow + 1;
    const RequestId request = queue.front();
    queue.erase(queue.begin());
    return request;
}

}
