#include "agent/flowdirectory.h"

#include "core/identifiers.h"

#include <algorithm>

namespace Rattanpick
{

void FlowDirectory::put(TimePoint now, const DirectoryEntry &entry, Kind kind, TimePoint deadline)
{
    m_records.insert_or_assign(entry.flow, Record{entry, kind, deadline, now});
}

const FlowDirectory::Record *FlowDirectory::find(const FlowKey &flow, quint64 nonce) const
{
    const auto found = m_records.find(flow);
    return found != m_records.end() && found->second.entry.nonce == nonce ? &found->second : nullptr;
}

bool FlowDirectory::release(const FlowKey &flow, quint64 nonce, TargetId owner)
{
    const Record *record = find(flow, nonce);
    if (!record || !record->namesOwner() || record->entry.owner.target != owner) {
        return false;
    }
    m_records.erase(flow);
    return true;
}

void FlowDirectory::removeOlder(TargetId owner, TimePoint time)
{
    std::erase_if(m_records, [owner, time](const auto &item) {
        return item.second.namesOwner() && item.second.entry.owner.target == owner && item.second.updatedAt < time;
    });
}

void FlowDirectory::refreshOwner(TargetId owner, TimePoint deadline)
{
    for (auto &[flow, record] : m_records) {
        if (!record.namesOwner() || record.entry.owner.target != owner) {
            continue;
        }
        record.deadline = std::max(record.deadline, deadline);
    }
}

DirectoryDigest FlowDirectory::digestOf(TargetId owner, const std::function<bool(const FlowKey &)> &filter) const
{
    DirectoryDigest digest;
    for (const auto &[flow, record] : m_records) {
        if (!record.namesOwner() || record.entry.owner.target != owner || !filter(flow)) {
            continue;
        }
        ++digest.count;
        digest.digest ^= digestPart(record.entry);
    }
    return digest;
}

void FlowDirectory::removeExpired(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &item) { return item.second.deadline <= now; });
}

quint64 FlowDirectory::digestPart(const DirectoryEntry &entry)
{
    return hashPair(hashPair(entry.flow.hash(), entry.nonce), static_cast<quint64>(entry.flowIncarnation));
}

}
