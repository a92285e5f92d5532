#pragma once

#include "balancer/routersettings.h"
#include "balancer/routingstrategy.h"
#include "core/timepoint.h"
#include "fabric/innerpacket.h"
#include "fabric/peermessage.h"
#include "fabric/peermessagecodec.h"

#include <memory>
#include <optional>
#include <unordered_set>

namespace Rattanpick
{

/// Result of routing a packet.
struct RouteDecision
{
    /// Why the packet is dropped; None if it is forwarded.
    DropReason drop = DropReason::None;
    ServiceId service{};
    /// The first hop that is not suspected, or the first hop if all are.
    Hop next;
    HopList hops;

    bool operator==(const RouteDecision &) const = default;
};

/// Makes all routing decisions of a balancer; keeps no per-flow state.
class Router
{
public:
    /// Builds a router that drops everything until a configuration is in force.
    explicit Router(const RouterSettings &settings, std::unique_ptr<RoutingStrategy> strategy);

    /// Puts an accepted configuration in force; its version must be higher than the current one.
    void applyConfiguration(const ConfigurationPointer &configuration);

    /// Records a suspicion or its refutation.
    void onSuspicion(TimePoint now, const Suspicion &suspicion);

    /// Runs the timers: detects a pause of the process, and ends the quarantine after its time limit.
    void onTick(TimePoint now);

    /// Compares versions with a peer; ends the quarantine after a pause if the own version is not older.
    ///
    /// Has no effect if @p receivedAt is before the start of the quarantine: a message that was queued during the pause
    /// does not show that the own version is still current.
    void onVersionCompared(TimePoint receivedAt, const ConfigurationVersion &peerVersion);

    /// Routes a packet of the flow; allocates no memory.
    RouteDecision route(TimePoint now, const FlowKey &flow);

    /// Whether packets are dropped because the process was paused and has not compared versions since.
    bool isQuarantined() const
    {
        return m_isQuarantined;
    }

    /// Number of pauses detected since the start.
    quint64 pauseCount() const
    {
        return m_pauses;
    }

    /// Number of quarantines that ended because no peer answered in time.
    quint64 unansweredQuarantines() const
    {
        return m_unansweredQuarantines;
    }

    /// The configuration in force, or null.
    const ConfigurationPointer &configuration() const
    {
        return m_configuration;
    }

    /// The number of suspected targets.
    std::size_t suspectCount() const
    {
        return m_suspects.size();
    }

private:
    void detectPause(TimePoint now);

    RouterSettings m_settings;
    std::unique_ptr<RoutingStrategy> m_strategy;
    ConfigurationPointer m_configuration;
    std::unordered_set<quint32> m_suspects;
    std::optional<TimePoint> m_pauseDeadline;
    TimePoint m_quarantineStart;
    TimePoint m_quarantineDeadline;
    bool m_isQuarantined = false;
    quint64 m_pauses = 0;
    quint64 m_unansweredQuarantines = 0;
};

}
