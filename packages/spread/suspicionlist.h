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

/// Send a suspicion, or its refutation, to a peer.
struct SendSuspicion
{
    Endpoint to;
    Suspicion suspicion;
    /// The hop count of the message's header.
    quint8 hopCount = 0;

    bool operator==(const SendSuspicion &) const = default;
};

/// The targets that are suspected dead, for balancers and agents. The size is bounded and every entry expires.
class SuspicionList
{
public:
    /// Builds an empty list.
    explicit SuspicionList(const SuspicionListSettings &settings);

    /// Records a suspicion or refutation that this process raised (hop count 0) or received with a hop count. A new one
    /// is forwarded to randomly chosen @p peers; a duplicate is not.
    void onSuspicion(TimePoint now, const Suspicion &suspicion, quint8 hopCount, const InstanceList &peers, std::vector<SendSuspicion> &actions);

    /// Records a heartbeat of the target's agent, which refutes a suspicion of any incarnation. True if the target was
    /// suspected.
    bool onHeartbeat(TimePoint now, TargetId target, Incarnation incarnation);

    /// Whether the target is suspected dead.
    bool isSuspected(TimePoint now, TargetId target) const;

    /// The number of entries, including expired ones that have not been removed yet.
    std::size_t size() const
    {
        return m_entries.size();
    }

    /// Number of suspicions discarded because the list was full.
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
        /// Until then the entry takes precedence over delayed suspicions of the same or an earlier incarnation.
        TimePoint refutedUntil{};
    };

    bool insertOrRenew(TimePoint now, const Suspicion &suspicion);
    void removeExpired(TimePoint now);

    SuspicionListSettings m_settings;
    std::mt19937_64 m_random;
    std::unordered_map<quint32, Entry> m_entries;
    quint64 m_overflows = 0;
};

}
