#pragma once

#include "agent/targetmessage.h"
#include "proof/fakenetwork.h"
#include "proof/faketargetsettings.h"
#include "proof/history.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace Rattanpick::Proof
{

/// A simulated target with slots, speed, a cold phase, open flows, answers in parts, shedding, cancellation and restarts.
///
/// Runs every request that it receives, also repeated ones: suppressing duplicates is the task of the agent.
class FakeTarget
{
public:
    /// Delivers a message of the target to its agent.
    using ReplySink = std::function<void(const TargetReply &reply)>;
    /// Looks up the name of the service at an address.
    using ServiceNames = std::function<QString(const Endpoint &address)>;

    FakeTarget(const FakeTargetSettings &settings, FakeNetwork &network, History &history, ServiceNames serviceNames);

    /// Sets the receiver of replies; with an empty sink they are lost.
    void setReplySink(ReplySink sink);

    /// Handles a command of the agent.
    void onCommand(const TargetCommand &command);

    /// Reports the state of the target to its agent.
    void sendStatus();

    // Faults

    /// Ends the process and its flows and starts a new one, which is cold.
    void restart();

    /// Becomes cold again without a restart and without notifying the agent.
    void turnColdSilently();

    /// Sets the speed, by which run times are divided.
    void setSpeed(double speed);

    /// Sets whether the target reports itself as draining.
    void setDraining(bool isDraining);

    // State

    /// Total busy time of all slots so far, including the elapsed part of runs in progress.
    Duration busyTime() const;

    /// Number of open flows.
    std::size_t flowCount() const
    {
        return m_flows.size();
    }

    /// Highest ratio of busy slots to the capacity of the target while it was cold; 0 if it never ran a request while cold.
    double peakColdLoad() const
    {
        return m_peakColdLoad;
    }

    /// Number of requests run so far.
    quint64 runCount() const
    {
        return m_runs;
    }

    /// Settings of the target, with the current speed.
    const FakeTargetSettings &settings() const
    {
        return m_settings;
    }

private:
    using RequestKey = std::pair<quint64, quint64>;

    struct Run
    {
        quint64 number = 0;
        /// Identity that the caller assigned to the request.
        quint64 serial = 0;
    };

    void handle(const TargetOpen &command);
    void handle(const TargetData &command);
    void handle(const TargetDataAck &command);
    void handle(const TargetClose &command);
    void handle(const TargetProbe &command);
    void handle(const TargetRequest &command);
    void handle(const TargetCancel &command);

    void recordPacket(const FlowKey &flow);
    void reply(TargetReplyBody body);
    void startRun(const TargetRequest &request);
    void endRun(const TargetRequest &request, quint64 run);
    void sendAnswer(const TargetRequest &request, quint64 run);
    void startQueuedRequests();
    double warmShare() const;
    double coldCapacity() const;
    Duration drawRunTime();
    void becomeCold(bool isSilent);
    void accountBusyTime();
    VirtualTime virtualNow() const;

    FakeTargetSettings m_settings;
    FakeNetwork &m_network;
    History &m_history;
    ServiceNames m_serviceNames;
    ReplySink m_sink;
    std::mt19937_64 m_random;
    Incarnation m_incarnation{};
    std::set<std::pair<FlowKey, quint64>> m_flows;
    std::deque<TargetRequest> m_queue;
    /// Runs in progress by nonce and number; a request can have several runs at the same time.
    std::multimap<RequestKey, Run> m_running;
    TimePoint m_coldSince;
    bool m_isWarm = true;
    bool m_isDraining = false;
    quint64 m_runs = 0;
    Duration m_busyTime{};
    TimePoint m_busyAccounted;
    /// Exponentially decaying average of the number of busy slots.
    double m_averageBusy = 0;
    double m_peakColdLoad = 0;
};

}
