#pragma once

#include "configservice/instance.h"
#include "core/timepoint.h"
#include "fabric/peermessage.h"
#include "spread/suspicionlistsettings.h"

#include <cstddef>
#include <random>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// Pass a suspicion, or its refutation, to a peer.
struct SendSuspicion
{
    Endpoint to;
    Suspicion suspicion;
    /// The hop count of the message's header.
    quint8 hopCount = 0;

    bool operator==(const SendSuspicion &) const = default;
};

/// The targets that are suspected dead, for balancers and agents; bounded, and every entry expires.
class SuspicionList
{
public:
    /// Builds an empty list.
    explicit SuspicionList(const SuspicionListSettings &settings);

    /// A suspicion or refutation seen by this process (hop count 0) or received with a hop count. A new one is
    /// passed on to random ones of @p peers; one that was seen before is not.
    void onSuspicion(TimePoint now, const Suspicion &suspicion, quint8 hopCount, const InstanceList &peers, std::vector<SendSuspicion> &actions);

    /// A sign of life of the target's agent with any incarnation; it refutes a suspicion. True if there was one.
    bool onHeartbeat(TimePoint now, TargetId target, Incarnation incarnation);

    /// Whether the target is suspected dead.
    bool isSuspected(TimePoint now, TargetId target) const;

    /// The number of entries, expired ones included until they are removed.
    std::size_t size() const
    {
        return m_entries.size();
    }

    /// Suspicions that found the list full.
    quint64 overflows() const
    {
        return m_overflows;
    }

private:
    struct Entry
    {
        Incarnation incarnation{};
        bool isSuspected = false;
        TimePoint deadline{};
        /// Until then the entry wins over a suspicion of the same or an earlier life that still travels.
        TimePoint refutedUntil{};
    };

    bool enter(TimePoint now, const Suspicion &suspicion);
    void removeExpired(TimePoint now);

    SuspicionListSettings m_settings;
    std::mt19937_64 m_random;
    std::unordered_map<quint32, Entry> m_entries;
    quint64 m_overflows = 0;
};

}
