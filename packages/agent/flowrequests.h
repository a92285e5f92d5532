#pragma once

#include "agent/requestrecord.h"
#include "core/identifiers.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// The request records of one flow, ordered by number, and the watermark up to which numbers may have been evicted.
class FlowRequests
{
public:
    /// Builds the records of a flow without requests.
    FlowRequests(quint64 nonce, Incarnation flowIncarnation)
        : m_nonce(nonce)
        , m_flowIncarnation(flowIncarnation)
    {
    }

    /// The caller's nonce of the flow.
    quint64 nonce() const
    {
        return m_nonce;
    }

    /// The incarnation that requests must carry.
    Incarnation flowIncarnation() const
    {
        return m_flowIncarnation;
    }

    /// Requires @p flowIncarnation of later requests; existing records stay.
    void setFlowIncarnation(Incarnation flowIncarnation)
    {
        m_flowIncarnation = flowIncarnation;
    }

    /// The record of the number; nullptr if there is none. The pointer is invalid after append() and evict().
    RequestRecord *find(quint64 number);

    /// Whether the record of the number may have been evicted: the request must not run.
    bool isEvicted(quint64 number) const
    {
        return number <= m_watermark;
    }

    /// Adds a record for a number that has no record and was not evicted.
    RequestRecord &append(quint64 number);

    /// Removes and returns the ended record with the lowest number if there are more than @p kept ended ones; raises
    /// the watermark.
    std::optional<RequestRecord> evict(std::size_t kept);

    /// All records, lowest number first.
    std::vector<RequestRecord> &records()
    {
        return m_records;
    }

private:
    std::vector<RequestRecord>::iterator position(quint64 number);

    quint64 m_nonce;
    Incarnation m_flowIncarnation;
    quint64 m_watermark = 0;
    std::vector<RequestRecord> m_records;
};

}
