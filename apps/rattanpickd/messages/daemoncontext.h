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

/// What the duties of one daemon share: settings, sockets, log, measurements and the rings between them.
///
/// Each ring has one duty that pushes and one that pops; a full one drops and counts.
struct DaemonContext
{
    /// Packets that wait for the decisions: some tens of milliseconds of the greatest rate that one node takes.
    static constexpr std::size_t packetRingSize = 8192;
    /// Messages of the configuration; far more than one second brings.
    static constexpr std::size_t controlRingSize = 1024;

    /// Builds the context; the sockets are not bound yet.
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
    /// The fabric socket of a balancer or the link of an agent to its target.
    UdpSocket side;

    BoundedRing<Received> received{packetRingSize};
    BoundedRing<Outgoing> decided{packetRingSize};
    BoundedRing<Outgoing> notices{controlRingSize};
    BoundedRing<PeerVersion> versions{controlRingSize};
    BoundedRing<ConfigurationUpdate> updates{controlRingSize};
    Wakeup decisionWakeup;
    Wakeup sendWakeup;
    Wakeup configurationWakeup;

    /// This life of the process.
    Incarnation incarnation{};
    /// Set when a planned stop is wanted; the decisions then finish what is in progress.
    std::atomic<bool> isStopping = false;
    /// Set when all duties shall end.
    std::atomic<bool> isEnding = false;

    /// Hands the element to the duty of the wake-up; false and counted if the ring is full.
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
