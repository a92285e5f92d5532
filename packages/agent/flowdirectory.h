#pragma once

#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace Rattanpick
{

/// The flows of other owners that this agent can name, as a home agent or an earlier home agent. Soft state.
class FlowDirectory
{
public:
    /// What the directory knows of a flow.
    enum class Kind : quint8 {
        /// The entry names the owner, as the owner has told.
        Owned,
        /// The entry names the owner; this agent placed the flow there as its home agent.
        Placed,
        /// Another home agent decides about the opening; the entry names it in place of the owner.
        Deferred,
    };

    /// One entry and how long it lives.
    struct Record
    {
        DirectoryEntry entry;
        Kind kind = Kind::Owned;
        TimePoint deadline;
        /// When the entry was put last.
        TimePoint updatedAt;

        /// Whether the entry names an owner.
        bool namesOwner() const
        {
            return kind != Kind::Deferred;
        }
    };

    /// Adds an entry or replaces the one of the same flow.
    void put(TimePoint now, const DirectoryEntry &entry, Kind kind, TimePoint deadline);

    /// The record of the flow and nonce, or null.
    const Record *find(const FlowKey &flow, quint64 nonce) const;

    /// Removes the entry of the flow if its nonce and owner are these; true if there was such an entry.
    bool release(const FlowKey &flow, quint64 nonce, TargetId owner);

    /// Removes entries of the owner that were put before the time: it has named all that it owns since.
    void removeOlder(TargetId owner, TimePoint time);

    /// Lets all entries of the owner live until the deadline.
    void refreshOwner(TargetId owner, TimePoint deadline);

    /// Count and xor over the owner's entries that the filter takes.
    DirectoryDigest digestOf(TargetId owner, const std::function<bool(const FlowKey &)> &filter) const;

    /// Removes entries whose deadline has passed.
    void removeExpired(TimePoint now);

    /// The number of entries.
    std::size_t size() const
    {
        return m_records.size();
    }

    /// The part of an entry in a digest; covers flow, nonce and flow incarnation.
    static quint64 digestPart(const DirectoryEntry &entry);

private:
    std::unordered_map<FlowKey, Record> m_records;
};

}
