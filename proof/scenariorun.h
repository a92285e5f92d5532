#pragma once

#include "proof/fakecaller.h"
#include "proof/fakenetwork.h"
#include "proof/fakeplatform.h"
#include "proof/faketarget.h"
#include "proof/history.h"
#include "proof/scenarioprocess.h"
#include "proof/scenariosettings.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Rattanpick::Proof
{

/// Runs the decision objects of a small deployment in one thread under one seed and records what all parties see.
class ScenarioRun
{
public:
    /// Builds all parties; nothing happens before run().
    explicit ScenarioRun(const ScenarioSettings &settings);
    ~ScenarioRun();

    ScenarioRun(const ScenarioRun &) = delete;
    ScenarioRun &operator=(const ScenarioRun &) = delete;

    /// Runs from start to end: warm-up, faults, settling, check of all flows.
    void run();

    /// Passes time until @p end after the start; the first call starts all processes.
    void runUntil(Duration end);

    /// Ends all faults, stops requests, and checks that each open flow still answers.
    void settle();

    /// What all parties have recorded.
    const History &history() const
    {
        return m_history;
    }

    // Operators

    /// The deployment as operators see it; publish() puts changes into a document.
    Deployment &deployment()
    {
        return m_deployment;
    }

    /// Publishes the deployment under the next number, or under the latest number again.
    void publish(bool underSameNumber = false);

    /// Starts a spare target of the service and lists it; the index of the target, or the number of targets if there is none.
    std::size_t addTarget(const QString &service);

    /// Removes the target from service and document and gives its address to a spare target of another service.
    void reuseAddress(std::size_t target);

    /// Whether the address of the target's agent has not been given to another target.
    bool ownsAddress(std::size_t target) const
    {
        return m_processAt.at(m_processes[agentOf(target)].tunnel) == agentOf(target);
    }

    // Processes

    /// Makes the platform fail, or answer again.
    void setPlatformDown(bool isDown);

    /// Ends the process at once.
    void kill(std::size_t process);

    /// Starts the process if it does not live.
    void start(std::size_t process);

    /// Begins the planned stop of an agent; its end starts it again.
    void stopAgent(std::size_t process);

    /// No step is taken, messages are held.
    void freeze(std::size_t process);

    /// Ends freeze().
    void resume(std::size_t process);

    /// Cuts the process off from those processes for which the predicate holds, and from the platform.
    void cutOff(std::size_t process, const std::function<bool(const ScenarioProcess &)> &from);

    /// Ends cutOff() with the same predicate.
    void reconnect(std::size_t process, const std::function<bool(const ScenarioProcess &)> &from);

    /// Balancers first, then agents in the order of the targets.
    const std::vector<ScenarioProcess> &processes() const
    {
        return m_processes;
    }

    /// The number of balancers.
    std::size_t balancerCount() const
    {
        return m_balancerCount;
    }

    /// The index of the agent beside a target.
    std::size_t agentOf(std::size_t target) const
    {
        return m_balancerCount + target;
    }

    // Parties

    /// The targets in the order of the deployment.
    const std::vector<std::unique_ptr<FakeTarget>> &targets() const
    {
        return m_targets;
    }

    /// The callers.
    const std::vector<std::unique_ptr<FakeCaller>> &callers() const
    {
        return m_callers;
    }

    /// The network.
    FakeNetwork &network()
    {
        return m_network;
    }

    /// The platform.
    FakePlatform &platform()
    {
        return m_platform;
    }

    /// Settings of the run.
    const ScenarioSettings &settings() const
    {
        return m_settings;
    }

    // Measurements

    /// Packets of callers that agents passed to another agent, over all passes.
    quint64 extraHops() const
    {
        return m_extraHops;
    }

    /// Packets of callers that balancers forwarded.
    quint64 forwardedPackets() const
    {
        return m_forwardedPackets;
    }

private:
    void buildProcesses();
    void buildTargets();
    void buildCallers();
    void buildLatencies();
    void startAll();
    std::unique_ptr<RoutingStrategy> makeRouting() const;
    std::unique_ptr<AgentUnderTest> makeAgent(const ScenarioProcess &process);
    std::unique_ptr<ConfigurationSource> makeSource(const ScenarioProcess &process);

    void step();
    void tickProcess(ScenarioProcess &process);
    void updateInstanceList();
    void deliverInstanceList(std::size_t process);
    void adoptIfReady(ScenarioProcess &process);
    void finishStop(std::size_t process);

    void sendFromCaller(std::size_t caller, const FlowKey &flow, const CallerMessage &message);
    void routePacket(std::size_t balancer, const FlowKey &flow, const CallerMessage &message);
    void refuseAfterTimeout(std::size_t balancer, const FlowKey &flow, const Request &request);
    void sendPeer(std::size_t from, const Endpoint &to, const PeerMessage &message);
    void receivePeer(std::size_t process, const PeerMessage &message);
    TunnelHeader headerOf(const ScenarioProcess &process) const;
    void sendToCaller(std::size_t from, const FlowKey &flow, const CallerMessage &message);

    void carryOut(std::size_t process, const AgentActions &actions);
    void carryOut(std::size_t process, const SpreadActions &actions);
    void carryOut(std::size_t process, const SpreadAction &action);
    void carryOut(std::size_t process, const AgentAction &action);
    void spreadSuspicion(std::size_t process, const Suspicion &suspicion);
    void pull(std::size_t process, const PullDocument &pull);
    void readPlatform(std::size_t process, quint64 afterRevision);

    void setTargetSink(std::size_t process);
    bool lives(std::size_t process, quint64 life) const;
    Moment moment() const;

    ScenarioSettings m_settings;
    Deployment m_deployment;
    std::mt19937_64 m_random;
    FakeNetwork m_network;
    History m_history;
    PartyId m_platformParty;
    FakePlatform m_platform;
    quint64 m_documentNumber = 0;
    std::size_t m_balancerCount = 0;
    bool m_isStarted = false;
    std::vector<ScenarioProcess> m_processes;
    std::map<Endpoint, std::size_t> m_processAt;
    std::vector<std::unique_ptr<FakeTarget>> m_targets;
    std::vector<PartyId> m_callerParties;
    std::vector<std::unique_ptr<FakeCaller>> m_callers;
    /// By address: callers use another port for each flow.
    std::map<quint32, std::size_t> m_callerAt;
    /// Processes that started while the platform was down, and so knew no other process.
    std::vector<QString> m_startedAlone;
    quint64 m_extraHops = 0;
    quint64 m_forwardedPackets = 0;
};

}
