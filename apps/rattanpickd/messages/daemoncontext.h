#pragma once

#include "rattanpickd/messages/dropcounters.h"
#include "rattanpickd/messages/workermessages.h"
#include "rattanpickd/wakeup.h"

#include "core/boundedring.h"
#include "core/eventlog.h"
#include "core/metrics.h"
#include "fabric/udpsocket.h"
#include "operators/daemonsettings.h"

#include <atomic>

namespace Rattanpick
{

/// State shared by the workers of one daemon: settings, sockets, log, metrics and the rings between the workers.
///
/// Each ring has one worker that pushes and one that pops. A full ring drops the element and counts the drop.
struct DaemonContext
{
    /// Packets that wait for the decision worker: some tens of milliseconds at the highest packet rate of one node.
    static constexpr std::size_t packetRingSize = 8192;
    /// Messages about the configuration; far more than arrive in one second.
    static constexpr std::size_t controlRingSize = 1024;

    /// Creates the context; the sockets are not bound yet.
    explicit DaemonContext(const DaemonSettings &daemonSettings, const EventLogSettings &logSettings)
        : settings(daemonSettings)
        , log(logSettings)
        , drops(metrics)
    {
    }

    const DaemonSettings settings;
    EventLog log;
    Metrics metrics;
    DropCounters drops;

    UdpSocket tunnel;
    /// The second socket, which depends on the role: fabric of a balancer, or link of an agent to its target.
    UdpSocket roleSocket;

    BoundedRing<Received> received{packetRingSize};
    BoundedRing<Outgoing> decided{packetRingSize};
    BoundedRing<Outgoing> notices{controlRingSize};
    BoundedRing<PeerVersion> versions{controlRingSize};
    BoundedRing<ConfigurationUpdate> updates{controlRingSize};
    Wakeup decisionWakeup;
    Wakeup sendWakeup;
    Wakeup configurationWakeup;

    /// Incarnation of this process, new at every start.
    Incarnation incarnation{};
    /// Set to begin a planned stop; the decision worker then finishes the work in progress.
    std::atomic<bool> isStopping = false;
    /// Set to end all workers.
    std::atomic<bool> isTerminating = false;

    /// Pushes the element and notifies the worker of the wake-up; false, and counted as a drop, if the ring is full.
    template <typename Element>
    bool pushOrCount(BoundedRing<Element> &ring, Wakeup &wakeup, Element element)
    {
        if (!ring.push(std::move(element))) {
            drops.count(DropReason::RingFull);
            return false;
        }
        wakeup.notify();
        return true;
    }
};

}
