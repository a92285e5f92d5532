#pragma once

#include "agent/requestrecord.h"
#include "core/identifiers.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// The request numbers of one flow, in order, and the watermark below which numbers may be forgotten.
class FlowRequests
{
public:
    /// Builds the memory of a flow that has seen no request.
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

    /// Requests must carry @p flowIncarnation from now on; the numbers stay known.
    void setFlowIncarnation(Incarnation flowIncarnation)
    {
        m_flowIncarnation = flowIncarnation;
    }

    /// The record of the number; nullptr if there is none. Invalid after append() and evict().
    RequestRecord *find(quint64 number);

    /// Whether the number may have been forgotten: it must not run.
    bool isEvicted(quint64 number) const
    {
        return number <= m_watermark;
    }

    /// Adds a record for a number that is neither known nor forgotten.
    RequestRecord &append(quint64 number);

    /// Removes and returns the lowest ended record if there are more than @p kept ended ones; raises the watermark.
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
