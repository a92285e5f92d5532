#pragma once

#include "core/timepoint.h"
#include "fabric/peermessage.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace Rattanpick
{

/// Maps flows of other agents to their owners, for which this agent is or was the home agent. Soft state.
class FlowDirectory
{
public:
    /// Origin and meaning of an entry.
    enum class Kind : quint8 {
        /// The entry names the owner, as registered by the owner.
        Owned,
        /// The entry names the owner; this agent, as home agent, placed the flow there.
        Placed,
        /// Another home agent decides about the opening; the entry names that agent in place of the owner.
        Deferred,
    };

    /// One entry with its lifetime.
    struct Record
    {
        DirectoryEntry entry;
        Kind kind = Kind::Owned;
        TimePoint deadline;
        /// When the entry was last added or replaced.
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

    /// Removes the entry of the flow if nonce and owner match; true if there was such an entry.
    bool release(const FlowKey &flow, quint64 nonce, TargetId owner);

    /// Removes entries of the owner that are older than @p time, since the owner has registered all of its flows after
    /// it.
    void removeOlder(TargetId owner, TimePoint time);

    /// Extends the lifetime of all entries of the owner to the deadline.
    void refreshOwner(TargetId owner, TimePoint deadline);

    /// Count of the owner's entries that pass the filter, and xor of their digestPart().
    DirectoryDigest digestOf(TargetId owner, const std::function<bool(const FlowKey &)> &filter) const;

    /// Removes entries whose deadline has passed.
    void removeExpired(TimePoint now);

    /// The number of entries.
    std::size_t size() const
    {
        return m_records.size();
    }

    /// The contribution of an entry to a digest; covers flow, nonce and flow incarnation.
    static quint64 digestPart(const DirectoryEntry &entry);

private:
    std::unordered_map<FlowKey, Record> m_records;
};

}
