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

/// Where a packet goes.
struct RouteDecision
{
    /// None if the packet is to be forwarded.
    DropReason drop = DropReason::None;
    ServiceId service{};
    /// The first hop that is not suspected.
    Hop next;
    HopList hops;

    bool operator==(const RouteDecision &) const = default;
};

/// Every decision of a balancer about packets; keeps no state of any flow.
class Router
{
public:
    /// Builds a router that drops everything until a configuration is in force.
    explicit Router(const RouterSettings &settings, std::unique_ptr<RoutingStrategy> strategy);

    /// Puts an accepted configuration in force; versions must rise.
    void applyConfiguration(const ConfigurationPointer &configuration);

    /// Takes note of a suspicion or of its refutation.
    void onSuspicion(TimePoint now, const Suspicion &suspicion);

    /// Passes time; notices a pause of the process and ends the hold after it.
    void onTick(TimePoint now);

    /// A peer's version was received at @p receivedAt, which ends the hold after a pause if ours is not older.
    ///
    /// Without effect if it was received before the hold began: what waited in a queue during the pause proves nothing.
    void onVersionCompared(TimePoint receivedAt, const ConfigurationVersion &peerVersion);

    /// Decides about a packet of the flow; allocates nothing.
    RouteDecision route(TimePoint now, const FlowKey &flow);

    /// Whether packets are dropped because the process was paused.
    bool isHolding() const
    {
        return m_isHolding;
    }

    /// The pauses noticed since the start.
    quint64 pauseCount() const
    {
        return m_pauses;
    }

    /// The holds that ended because no peer answered in time.
    quint64 unansweredHolds() const
    {
        return m_unansweredHolds;
    }

    /// The configuration in force, or null.
    const ConfigurationPointer &configuration() const
    {
        return m_configuration;
    }

    /// The number of targets suspected.
    std::size_t suspectCount() const
    {
        return m_suspects.size();
    }

private:
    void noticePause(TimePoint now);

    RouterSettings m_settings;
    std::unique_ptr<RoutingStrategy> m_strategy;
    ConfigurationPointer m_configuration;
    std::unordered_set<quint32> m_suspects;
    std::optional<TimePoint> m_pauseDeadline;
    TimePoint m_holdSince;
    TimePoint m_holdDeadline;
    bool m_isHolding = false;
    quint64 m_pauses = 0;
    quint64 m_unansweredHolds = 0;
};

}
