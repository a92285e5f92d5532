#include "agent/flowrequests.h"

#include "core/assertion.h"

#include <algorithm>
#include <utility>

namespace Rattanpick
{

RequestRecord *FlowRequests::find(quint64 number)
{
    const auto found = position(number);
    return found != m_records.end() && found->number == number ? &*found : nullptr;
}

RequestRecord &FlowRequests::append(quint64 number)
{
    const auto place = position(number);
    RP_ASSERT(!isEvicted(number));
    RP_ASSERT(place == m_records.end() || place->number != number);
    RequestRecord record;
    record.number = number;
    return *m_records.insert(place, std::move(record));
}

std::optional<RequestRecord> FlowRequests::evict(std::size_t kept)
{
    if (m_records.size() <= kept) {
        return std::nullopt;
    }
    const auto isEnded = [](const RequestRecord &record) {
        return !record.isInProgress();
    };
    const auto ended = std::count_if(m_records.begin(), m_records.end(), isEnded);
    if (static_cast<std::size_t>(ended) <= kept) {
        return std::nullopt;
    }
    // The lowest number is evicted, since the watermark also rejects every lower number that has not arrived yet.
    const auto lowest = std::find_if(m_records.begin(), m_records.end(), isEnded);
    RequestRecord record = std::move(*lowest);
    m_records.erase(lowest);
    m_watermark = std::max(m_watermark, record.number);
    return record;
}

std::vector<RequestRecord>::iterator FlowRequests::position(quint64 number)
{
    return std::lower_bound(m_records.begin(), m_records.end(), number, [](const RequestRecord &record, quint64 wanted) { return record.number < wanted; });
}

}
