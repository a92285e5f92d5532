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

/// A target with slots, speed, a cold phase, held flows, answers in parts, shedding, cancellation and restarts.
///
/// Runs every request that it is given, also one that it has run before: suppression is the agent's duty.
class FakeTarget
{
public:
    /// Gives a message of the target to its agent.
    using ReplySink = std::function<void(const TargetReply &reply)>;
    /// The name of the service at an address.
    using ServiceNames = std::function<QString(const Endpoint &address)>;

    /// Starts the target process.
    FakeTarget(const FakeTargetSettings &settings, FakeNetwork &network, History &history, ServiceNames serviceNames);

    /// Where replies go; an empty sink loses them.
    void setReplySink(ReplySink sink);

    /// A command of the agent.
    void onCommand(const TargetCommand &command);

    /// Tells the agent that connects the state of the target.
    void sendStatus();

    // Faults

    /// Ends the process with its flows and starts another one, which is cold.
    void restart();

    /// Bears only the cold share again, without notice.
    void turnColdSilently();

    /// Divides run times by another speed from now on.
    void setSpeed(double speed);

    /// Reports itself as draining.
    void setDraining(bool isDraining);

    // State

    /// Time that the slots were busy so far, all slots added, runs in progress counted in part.
    Duration busyTime() const;

    /// Flows held.
    std::size_t flowCount() const
    {
        return m_flows.size();
    }

    /// The most slots that were busy at a time over what the cold target bore; 0 if it never was cold.
    double peakColdLoad() const
    {
        return m_peakColdLoad;
    }

    /// Requests run so far.
    quint64 runCount() const
    {
        return m_runs;
    }

    /// Settings with which the target was built.
    const FakeTargetSettings &settings() const
    {
        return m_settings;
    }

private:
    using RequestKey = std::pair<quint64, quint64>;

    struct Run
    {
        quint64 number = 0;
        /// The identity that the caller gave the request.
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
    void startWaiting();
    double warmShare() const;
    double bearableSlots() const;
    Duration drawRunTime();
    void becomeCold(bool isSilent);
    void accountBusyTime();
    Moment moment() const;

    FakeTargetSettings m_settings;
    FakeNetwork &m_network;
    History &m_history;
    ServiceNames m_serviceNames;
    ReplySink m_sink;
    std::mt19937_64 m_random;
    Incarnation m_incarnation{};
    std::set<std::pair<FlowKey, quint64>> m_flows;
    std::deque<TargetRequest> m_waiting;
    /// Runs in progress by nonce and number; the same request may run more than once.
    std::multimap<RequestKey, Run> m_running;
    TimePoint m_coldSince;
    bool m_isWarm = true;
    bool m_isDraining = false;
    quint64 m_runs = 0;
    Duration m_busyTime{};
    TimePoint m_busyAccounted;
    /// Busy slots averaged with the decay below.
    double m_averageBusy = 0;
    double m_peakColdLoad = 0;
};

}
