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

/// Simulates a small deployment: runs the decision objects of packages/ in one thread and in virtual time, with all
/// random numbers drawn from one seed, and records what processes, targets and callers observe.
class ScenarioRun
{
public:
    /// Builds all processes, targets and callers; nothing runs before run() or runUntil().
    explicit ScenarioRun(const ScenarioSettings &settings);
    ~ScenarioRun();

    ScenarioRun(const ScenarioRun &) = delete;
    ScenarioRun &operator=(const ScenarioRun &) = delete;

    /// Runs all phases: warm-up, faults, settling, and the final check of all flows.
    void run();

    /// Advances virtual time to @p end after the start of the run; the first call starts all processes.
    void runUntil(Duration end);

    /// Stops new requests, waits until the system is quiet, and checks that each open flow still gets answers.
    void settle();

    /// The records of all processes, targets and callers.
    const History &history() const
    {
        return m_history;
    }

    // Operators

    /// The deployment as operators configure it; changes take effect with publish().
    Deployment &deployment()
    {
        return m_deployment;
    }

    /// Publishes the deployment as a document with the next version number, or with the latest number again.
    void publish(bool underSameNumber = false);

    /// Starts a spare target of the service and lists it in the document; returns its index, or the number of targets
    /// if no spare target is left.
    std::size_t addTarget(const QString &service);

    /// Stops the target, removes it from the document and assigns its address to a spare target of another service.
    void reuseAddress(std::size_t target);

    /// Whether the address of the target's agent is still its own, see reuseAddress().
    bool ownsAddress(std::size_t target) const
    {
        return m_processByEndpoint.at(m_processes[agentOf(target)].tunnel) == agentOf(target);
    }

    // Processes

    /// Makes calls to the platform fail, or succeed again.
    void setPlatformDown(bool isDown);

    /// Ends the process without a planned stop.
    void kill(std::size_t process);

    /// Starts the process unless it is running.
    void start(std::size_t process);

    /// Begins the planned stop of an agent, which is started again after it has ended.
    void stopAgent(std::size_t process);

    /// Suspends the process: it runs no steps, and messages to it are queued until resume().
    void freeze(std::size_t process);

    /// Ends freeze().
    void resume(std::size_t process);

    /// Partitions the process from all processes that match the predicate, and from the platform.
    void cutOff(std::size_t process, const std::function<bool(const ScenarioProcess &)> &from);

    /// Ends cutOff() with the same predicate.
    void reconnect(std::size_t process, const std::function<bool(const ScenarioProcess &)> &from);

    /// All processes: balancers first, then agents in the order of their targets.
    const std::vector<ScenarioProcess> &processes() const
    {
        return m_processes;
    }

    std::size_t balancerCount() const
    {
        return m_balancerCount;
    }

    /// The index of the agent of a target.
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

    const std::vector<std::unique_ptr<FakeCaller>> &callers() const
    {
        return m_callers;
    }

    FakeNetwork &network()
    {
        return m_network;
    }

    FakePlatform &platform()
    {
        return m_platform;
    }

    const ScenarioSettings &settings() const
    {
        return m_settings;
    }

    // Measurements

    /// Number of times that an agent forwarded a caller's packet to another agent.
    quint64 extraHops() const
    {
        return m_extraHops;
    }

    /// Number of caller packets that balancers forwarded.
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

    void execute(std::size_t process, const AgentActions &actions);
    void execute(std::size_t process, const SpreadActions &actions);
    void execute(std::size_t process, const SpreadAction &action);
    void execute(std::size_t process, const AgentAction &action);
    void spreadSuspicion(std::size_t process, const Suspicion &suspicion);
    void pull(std::size_t process, const PullDocument &pull);
    void readPlatform(std::size_t process, quint64 afterRevision);

    void setTargetSink(std::size_t process);
    bool isSameLifetime(std::size_t process, quint64 lifetime) const;
    VirtualTime virtualNow() const;

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
    std::map<Endpoint, std::size_t> m_processByEndpoint;
    std::vector<std::unique_ptr<FakeTarget>> m_targets;
    std::vector<PartyId> m_callerParties;
    std::vector<std::unique_ptr<FakeCaller>> m_callers;
    /// Index of each caller by its address; callers use a new port for each flow.
    std::map<quint32, std::size_t> m_callerByAddress;
    /// Processes that started while the platform was down, and so without any known peers.
    std::vector<QString> m_startedIsolated;
    quint64 m_extraHops = 0;
    quint64 m_forwardedPackets = 0;
};

}
