#include "proof/scenariorun.h"

#include "balancer/daisychainrouting.h"
#include "balancer/homerouting.h"
#include "balancer/maglevrouting.h"
#include "balancer/uniformrouting.h"
#include "caller/callermessagecodec.h"
#include "core/assertion.h"
#include "operators/documentreader.h"
#include "proof/designagent.h"
#include "proof/editedconfigurationagent.h"
#include "proof/faultinjector.h"
#include "proof/plainflowagent.h"
#include "proof/repeatingagent.h"
#include "proof/spreadsource.h"
#include "proof/uncheckedagent.h"
#include "proof/unorderedsource.h"

#include <algorithm>

namespace Rattanpick::Proof
{

namespace
{

constexpr quint32 balancerNetwork = 0x0a000000; // 10.0.0.0
constexpr quint32 callerNetwork = 0xc0a80000; // 192.168.0.0
constexpr quint16 tunnelPort = 7000;
constexpr quint16 adminPort = 8000;
constexpr quint16 callerPort = 4000;

/// Network site of all callers; the site of a data centre is its index.
constexpr int callerSite = 1000;
constexpr int platformSite = 1001;

constexpr Duration instanceListLag = 2s;
constexpr Duration instanceListInterval = 500ms;
constexpr Duration instanceListReadInterval = 2s;
constexpr Duration targetStatusInterval = 500ms;
/// The fabric keeps sending packets to a balancer for this long after the balancer ended or froze.
constexpr Duration fabricLag = 1s;
/// The baseline of P6 answers "not run" to a request after this time.
constexpr Duration baselineRefusalTimeout = 300ms;
/// A pull from a peer that has ended or is unreachable fails after this time.
constexpr Duration pullTimeout = 500ms;
/// Time within which open flows must answer in the final check.
constexpr Duration checkTime = 4s;
/// Time between the end of a planned stop and the restart.
constexpr Duration restartTime = 300ms;

template <typename Body>
const Body *bodyOf(const PeerMessage &message)
{
    return std::get_if<Body>(&message.body);
}

}

ScenarioRun::ScenarioRun(const ScenarioSettings &settings)
    : m_settings(settings)
    , m_deployment(settings.deployment)
    , m_random(settings.seed)
    , m_network(settings.seed ^ 0x6e6574U, runStart)
    , m_platformParty(m_network.addParty(platformSite))
    , m_platform(m_network, m_platformParty, instanceListLag)
{
    for (int added = 0; added < m_settings.spareTargets; ++added) {
        for (const DeployedService &service : m_settings.deployment.services) {
            m_deployment.addSpareTarget(service.name);
        }
    }
    m_network.setLinkSettings(m_settings.links);
    buildLatencies();
    buildTargets();
    buildProcesses();
    buildCallers();
}

ScenarioRun::~ScenarioRun() = default;

void ScenarioRun::run()
{
    FaultInjector injector(*this);
    runUntil(Duration::zero());
    injector.schedule(m_settings.faults, m_settings.warmUp);
    runUntil(m_settings.warmUp + m_settings.duration);
    injector.undoAll();
    settle();
}

void ScenarioRun::runUntil(Duration end)
{
    if (!m_isStarted) {
        m_isStarted = true;
        startAll();
    }
    m_network.runUntil(runStart + end);
}

void ScenarioRun::settle()
{
    for (const auto &caller : m_callers) {
        caller->stopRequests();
    }
    const Duration begin = m_network.now() - runStart;
    runUntil(begin + m_settings.settling);
    for (const auto &caller : m_callers) {
        caller->beginCheck(m_network.now());
    }
    runUntil(begin + m_settings.settling + checkTime);
    for (const auto &caller : m_callers) {
        caller->endCheck(m_network.now());
    }
}

// Building

void ScenarioRun::buildLatencies()
{
    const int sites = static_cast<int>(m_deployment.dataCentres.size());
    for (int first = 0; first < sites; ++first) {
        for (int second = first + 1; second < sites; ++second) {
            m_network.setLatency(first, second, m_deployment.dataCentreLatency);
        }
        m_network.setLatency(first, callerSite, m_deployment.callerLatency);
        m_network.setLatency(first, platformSite, m_deployment.dataCentreLatency);
    }
}

void ScenarioRun::buildTargets()
{
    std::size_t index = 0;
    for (const DeployedTarget &target : m_deployment.targets) {
        const DeployedService &service = m_deployment.service(target.service);
        FakeTargetSettings settings;
        settings.name = target.name;
        settings.service = target.service;
        settings.dataCentre = target.dataCentre;
        settings.slotCount = service.slotCount;
        settings.queueLimit = static_cast<std::size_t>(service.slotCount);
        settings.runTime = service.runTime;
        settings.speed = m_settings.speeds[index % m_settings.speeds.size()];
        settings.coldShare = service.coldSharePercent / 100.0;
        settings.warmTime = std::chrono::seconds(service.warmSeconds);
        settings.startsWarm = m_settings.targetsStartWarm && target.isListed;
        settings.shedProbability = m_settings.shedProbability;
        settings.seed = m_random();
        const auto serviceNames = [this](const Endpoint &address) {
            return m_deployment.serviceAt(address);
        };
        m_targets.push_back(std::make_unique<FakeTarget>(settings, m_network, m_history, serviceNames));
        ++index;
    }
}

void ScenarioRun::buildProcesses()
{
    for (std::size_t site = 0; site < m_deployment.dataCentres.size(); ++site) {
        for (int count = 0; count < m_settings.balancersPerDataCentre; ++count) {
            ScenarioProcess process;
            const auto number = static_cast<quint32>(m_processes.size() + 1);
            process.name = QStringLiteral("balancer-%1").arg(number);
            process.dataCentre = m_deployment.dataCentres[site].name;
            process.party = m_network.addParty(static_cast<int>(site));
            process.tunnel = Endpoint{balancerNetwork + number, tunnelPort};
            process.admin = Endpoint{balancerNetwork + number, adminPort};
            m_processes.push_back(std::move(process));
        }
    }
    m_balancerCount = m_processes.size();
    for (std::size_t index = 0; index < m_deployment.targets.size(); ++index) {
        const DeployedTarget &target = m_deployment.targets[index];
        const auto site = std::ranges::find(m_deployment.dataCentres, target.dataCentre, &DeployedDataCentre::name) - m_deployment.dataCentres.begin();
        ScenarioProcess process;
        process.name = target.name;
        process.role = InstanceRole::Agent;
        process.dataCentre = target.dataCentre;
        process.party = m_network.addParty(static_cast<int>(site));
        process.tunnel = target.agent;
        process.admin = Endpoint{target.agent.address, adminPort};
        process.target = index;
        m_processes.push_back(std::move(process));
    }
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        m_processByEndpoint[m_processes[index].tunnel] = index;
        m_processByEndpoint[m_processes[index].admin] = index;
    }
}

void ScenarioRun::buildCallers()
{
    for (int index = 0; index < m_settings.callers; ++index) {
        const auto number = static_cast<quint32>(index);
        FakeCallerSettings settings;
        settings.name = QStringLiteral("caller-%1").arg(index);
        settings.endpoint = Endpoint{callerNetwork + number, callerPort};
        const bool isFirst = index < m_settings.callers * m_settings.firstServiceShare;
        settings.service = m_deployment.services[isFirst ? 0 : 1].address;
        settings.requestInterval = m_settings.requestInterval;
        settings.requestDeadline = m_settings.requestDeadline;
        settings.idempotentShare = m_settings.idempotentShare;
        settings.cancelShare = m_settings.cancelShare;
        settings.dataInterval = m_settings.dataInterval;
        settings.flowLifetime = m_settings.flowLifetime;
        settings.ignoresRequestIdentity = m_settings.baselinePoint == 5;
        settings.seed = m_random();
        const auto caller = static_cast<std::size_t>(index);
        const auto send = [this, caller](const FlowKey &flow, const CallerMessage &message) {
            sendFromCaller(caller, flow, message);
        };
        m_callerParties.push_back(m_network.addParty(callerSite));
        m_callers.push_back(std::make_unique<FakeCaller>(settings, m_history, send));
        m_callerByAddress[settings.endpoint.address] = caller;
    }
}

void ScenarioRun::startAll()
{
    publish();
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        const bool isListed = index < m_balancerCount || m_deployment.targets[m_processes[index].target].isListed;
        if (isListed) {
            start(index);
        }
    }
    updateInstanceList();
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        deliverInstanceList(index);
    }
    // Flows open over the course of one second, after the processes have received the configuration.
    for (const auto &caller : m_callers) {
        const Duration delay = std::chrono::milliseconds(2500 + m_random() % 1000);
        m_network.after(delay, [&caller](TimePoint now) { caller->start(now); });
    }
    m_network.after(m_settings.step, [this](TimePoint) { step(); });
}

std::unique_ptr<RoutingStrategy> ScenarioRun::makeRouting() const
{
    switch (m_settings.baselinePoint == 1 ? RoutingKind::Maglev : m_settings.routing) {
    case RoutingKind::Maglev:
        return std::make_unique<MaglevRouting>();
    case RoutingKind::Uniform:
        return std::make_unique<UniformRouting>();
    case RoutingKind::DaisyChain:
        return std::make_unique<DaisyChainRouting>();
    case RoutingKind::Home:
        break;
    }
    return std::make_unique<HomeRouting>();
}

std::unique_ptr<AgentUnderTest> ScenarioRun::makeAgent(const ScenarioProcess &process)
{
    const DeployedTarget &target = m_deployment.targets[process.target];
    TargetAgentSettings settings;
    settings.targetName = target.name;
    settings.target = targetIdOf(target.name.toUtf8());
    settings.service = serviceIdOf(target.service.toUtf8());
    settings.dataCentre = target.dataCentre;
    settings.endpoint = process.tunnel;
    settings.incarnation = process.incarnation;
    settings.seed = m_random();
    const TimePoint now = m_network.now();
    if (m_settings.routing != RoutingKind::Home) {
        return std::make_unique<PlainFlowAgent>(settings);
    }
    switch (m_settings.baselinePoint) {
    case 1:
        return std::make_unique<PlainFlowAgent>(settings);
    case 2:
        return std::make_unique<UncheckedAgent>(settings, now);
    case 3:
        return std::make_unique<EditedConfigurationAgent>(settings, now, EditedConfigurationAgent::withoutRamp());
    case 4:
        settings.pauseLimit = 1h;
        return std::make_unique<EditedConfigurationAgent>(settings, now, EditedConfigurationAgent::withoutFence(target.dataCentre));
    case 7:
        return std::make_unique<RepeatingAgent>(settings, now);
    case 8:
        return std::make_unique<EditedConfigurationAgent>(settings, now, EditedConfigurationAgent::withoutDraining(settings.target));
    default:
        return std::make_unique<DesignAgent>(settings, now);
    }
}

std::unique_ptr<ConfigurationSource> ScenarioRun::makeSource(const ScenarioProcess &process)
{
    if (m_settings.baselinePoint == 10) {
        return std::make_unique<UnorderedSource>();
    }
    SpreadNodeSettings settings;
    settings.name = process.name;
    settings.dataCentre = process.dataCentre;
    settings.admin = process.admin;
    settings.tunnel = process.tunnel;
    settings.seed = m_random();
    return std::make_unique<SpreadSource>(settings, m_network.now());
}

// Operators

void ScenarioRun::publish(bool underSameNumber)
{
    if (!underSameNumber) {
        ++m_documentNumber;
    }
    const QByteArray text = m_deployment.document(m_documentNumber);
    DocumentReader reader(QStringLiteral("document"));
    const ConfigurationPointer configuration = reader.read(text);
    for (const Finding &finding : reader.findings()) {
        qWarning("%s", qPrintable(finding.toString()));
    }
    RP_ASSERT(configuration != nullptr);
    DocumentPublished record;
    record.document = {configuration->version().number, configuration->version().digest};
    for (const QString &name : m_deployment.outDataCentres()) {
        record.outDataCentres.insert(name);
    }
    for (const DeployedTarget &target : m_deployment.targets) {
        // A target that the document no longer lists is also expected to get no new work.
        if (target.isDraining || !target.isListed) {
            record.drainingTargets.insert(target.name);
        }
    }
    m_history.append(virtualNow(), QStringLiteral("operators"), record);
    m_platform.publish(text);
}

std::size_t ScenarioRun::addTarget(const QString &service)
{
    for (std::size_t index = 0; index < m_deployment.targets.size(); ++index) {
        DeployedTarget &target = m_deployment.targets[index];
        if (target.service != service || target.isListed || m_processes[agentOf(index)].lifetime != 0) {
            continue;
        }
        target.isListed = true;
        start(agentOf(index));
        return index;
    }
    return m_deployment.targets.size();
}

void ScenarioRun::reuseAddress(std::size_t target)
{
    const QString service = m_deployment.targets[target].service;
    const auto spare = std::ranges::find_if(m_deployment.targets, [&](const DeployedTarget &entry) {
        const auto index = static_cast<std::size_t>(&entry - m_deployment.targets.data());
        return entry.service != service && !entry.isListed && m_processes[agentOf(index)].lifetime == 0;
    });
    if (spare == m_deployment.targets.end() || !m_deployment.targets[target].isListed) {
        return;
    }
    kill(agentOf(target));
    m_targets[target]->restart();
    m_deployment.targets[target].isListed = false;
    const auto index = static_cast<std::size_t>(spare - m_deployment.targets.begin());
    ScenarioProcess &process = m_processes[agentOf(index)];
    process.tunnel = m_processes[agentOf(target)].tunnel;
    process.admin = m_processes[agentOf(target)].admin;
    spare->agent = process.tunnel;
    m_processByEndpoint[process.tunnel] = agentOf(index);
    m_processByEndpoint[process.admin] = agentOf(index);
    addTarget(spare->service);
    publish();
}

// Processes

void ScenarioRun::setPlatformDown(bool isDown)
{
    m_platform.setDown(isDown);
    if (isDown) {
        return;
    }
    for (const QString &name : m_startedIsolated) {
        m_history.append(virtualNow(), name, DisturbanceEnded{});
    }
    m_startedIsolated.clear();
}

void ScenarioRun::kill(std::size_t index)
{
    ScenarioProcess &process = m_processes[index];
    if (!process.isAlive) {
        return;
    }
    resume(index);
    process.isAlive = false;
    process.isStopping = false;
    ++process.lifetime;
    process.endedAt = m_network.now();
    process.router.reset();
    process.agent.reset();
    process.source.reset();
    process.adopted.reset();
    process.inForce.reset();
    m_history.append(virtualNow(), process.name, ProcessEnded{false});
    if (process.role == InstanceRole::Agent) {
        m_targets[process.target]->setReplySink({});
    }
}

void ScenarioRun::start(std::size_t index)
{
    ScenarioProcess &process = m_processes[index];
    if (process.isAlive) {
        return;
    }
    // The address of a removed target may be in use by another process, see reuseAddress().
    if (m_processByEndpoint.at(process.tunnel) != index) {
        return;
    }
    process.isAlive = true;
    ++process.lifetime;
    process.incarnation = Incarnation{m_random() | 1U};
    m_history.append(virtualNow(), process.name, ProcessBegan{});
    if (m_platform.isDown()) {
        // Instances store nothing on disk, so a new process can learn of its peers from the platform only.
        m_history.append(virtualNow(), process.name, DisturbanceBegan{});
        m_startedIsolated.push_back(process.name);
    }
    process.source = makeSource(process);
    if (process.role == InstanceRole::Agent) {
        process.agent = makeAgent(process);
        setTargetSink(index);
        m_targets[process.target]->sendStatus();
    } else {
        RouterSettings settings;
        if (m_settings.baselinePoint == 4) {
            settings.pauseLimit = 1h;
        }
        process.router = std::make_unique<Router>(settings, makeRouting());
    }
    deliverInstanceList(index);
}

void ScenarioRun::stopAgent(std::size_t index)
{
    ScenarioProcess &process = m_processes[index];
    if (!process.isAlive || process.isStopping || process.agent == nullptr || m_network.isFrozen(process.party)) {
        return;
    }
    process.isStopping = true;
    m_history.append(virtualNow(), process.name, StopBegan{process.name});
    if (m_settings.baselinePoint == 9) {
        finishStop(index);
        return;
    }
    AgentActions actions;
    process.agent->beginStop(m_network.now(), actions);
    execute(index, actions);
}

void ScenarioRun::finishStop(std::size_t index)
{
    ScenarioProcess &process = m_processes[index];
    m_history.append(virtualNow(), process.name, StopEnded{process.name});
    m_history.append(virtualNow(), process.name, ProcessEnded{true});
    process.isAlive = false;
    process.isStopping = false;
    ++process.lifetime;
    process.endedAt = m_network.now();
    process.agent.reset();
    process.source.reset();
    process.adopted.reset();
    process.inForce.reset();
    m_targets[process.target]->setReplySink({});
    m_network.after(restartTime, [this, index](TimePoint) { start(index); });
}

void ScenarioRun::freeze(std::size_t index)
{
    ScenarioProcess &process = m_processes[index];
    if (!process.isAlive || m_network.isFrozen(process.party)) {
        return;
    }
    process.endedAt = m_network.now();
    m_network.freeze(process.party);
    m_history.append(virtualNow(), process.name, DisturbanceBegan{});
}

void ScenarioRun::resume(std::size_t index)
{
    ScenarioProcess &process = m_processes[index];
    if (!m_network.isFrozen(process.party)) {
        return;
    }
    m_network.resume(process.party);
    m_history.append(virtualNow(), process.name, DisturbanceEnded{});
}

void ScenarioRun::cutOff(std::size_t index, const std::function<bool(const ScenarioProcess &)> &from)
{
    const PartyId party = m_processes[index].party;
    for (const ScenarioProcess &other : m_processes) {
        if (other.party != party && from(other)) {
            m_network.cut(party, other.party);
        }
    }
    m_network.cut(party, m_platformParty);
    m_history.append(virtualNow(), m_processes[index].name, DisturbanceBegan{});
}

void ScenarioRun::reconnect(std::size_t index, const std::function<bool(const ScenarioProcess &)> &from)
{
    const PartyId party = m_processes[index].party;
    for (const ScenarioProcess &other : m_processes) {
        if (other.party != party && from(other)) {
            m_network.heal(party, other.party);
        }
    }
    m_network.heal(party, m_platformParty);
    m_history.append(virtualNow(), m_processes[index].name, DisturbanceEnded{});
}

// Time

void ScenarioRun::step()
{
    const auto stepNumber = (m_network.now() - runStart) / m_settings.step;
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        ScenarioProcess &process = m_processes[index];
        if (process.isAlive && !m_network.isFrozen(process.party)) {
            tickProcess(process);
        }
    }
    for (const auto &caller : m_callers) {
        caller->onTick(m_network.now());
    }
    if (stepNumber % (instanceListInterval / m_settings.step) == 0) {
        updateInstanceList();
    }
    const auto readSteps = static_cast<std::size_t>(instanceListReadInterval / m_settings.step);
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        // The processes read the list at different times, spread evenly over the interval.
        if (static_cast<std::size_t>(stepNumber) % readSteps == (index * readSteps) / m_processes.size()) {
            deliverInstanceList(index);
        }
    }
    if (stepNumber % (targetStatusInterval / m_settings.step) == 0) {
        for (const auto &target : m_targets) {
            target->sendStatus();
        }
    }
    m_network.after(m_settings.step, [this](TimePoint) { step(); });
}

void ScenarioRun::tickProcess(ScenarioProcess &process)
{
    const auto index = static_cast<std::size_t>(&process - m_processes.data());
    const TimePoint now = m_network.now();
    SpreadActions spreadActions;
    process.source->onTick(now, spreadActions);
    execute(index, spreadActions);
    adoptIfReady(process);
    if (process.router != nullptr) {
        process.router->onTick(now);
        return;
    }
    AgentActions actions;
    process.agent->onTick(now, actions);
    execute(index, actions);
    if (process.isStopping && process.agent->isStopped()) {
        finishStop(index);
    }
}

void ScenarioRun::updateInstanceList()
{
    InstanceList instances;
    for (const ScenarioProcess &process : m_processes) {
        if (!process.isAlive) {
            continue;
        }
        const TargetId target = process.role == InstanceRole::Agent ? targetIdOf(process.name.toUtf8()) : TargetId{};
        instances.append(Instance{process.name, process.role, process.dataCentre, process.tunnel, process.admin, target, process.isStopping});
    }
    std::ranges::sort(instances, {}, &Instance::name);
    m_platform.setInstances(instances);
}

void ScenarioRun::deliverInstanceList(std::size_t index)
{
    if (m_platform.isDown()) {
        return;
    }
    const quint64 lifetime = m_processes[index].lifetime;
    m_network.sendReliably(m_platformParty, m_processes[index].party, [this, index, lifetime](TimePoint now) {
        if (!isSameLifetime(index, lifetime)) {
            return;
        }
        ScenarioProcess &process = m_processes[index];
        const InstanceList instances = m_platform.laggingInstances();
        SpreadActions actions;
        process.source->onInstanceList(now, instances, actions);
        execute(index, actions);
        if (process.agent == nullptr) {
            return;
        }
        for (std::size_t target = 0; target < m_targets.size(); ++target) {
            const QString &name = m_processes[agentOf(target)].name;
            const bool isLive = std::ranges::any_of(instances, [&](const Instance &instance) { return instance.name == name; });
            process.agent->setListedLive(targetIdOf(name.toUtf8()), isLive);
        }
    });
}

void ScenarioRun::adoptIfReady(ScenarioProcess &process)
{
    if (process.adopted == nullptr || !process.source->isReady(m_network.now())) {
        return;
    }
    const auto index = static_cast<std::size_t>(&process - m_processes.data());
    const bool isEarlier = process.inForce != nullptr && process.adopted->version() <= process.inForce->version();
    process.inForce = std::move(process.adopted);
    process.adopted.reset();
    const ConfigurationVersion version = process.inForce->version();
    m_history.append(virtualNow(), process.name, ConfigurationInForce{{version.number, version.digest}});
    if (isEarlier) {
        // Reached with the baseline of P10 only. The decision objects assert that versions increase, so they keep the
        // configuration in force; the history records the older one.
        return;
    }
    if (process.router != nullptr) {
        process.router->applyConfiguration(process.inForce);
        return;
    }
    AgentActions actions;
    process.agent->applyConfiguration(m_network.now(), process.inForce, actions);
    execute(index, actions);
}

// Packets

void ScenarioRun::sendFromCaller(std::size_t caller, const FlowKey &flow, const CallerMessage &message)
{
    // The fabric sends each packet to a random balancer among those that it considers alive.
    std::vector<std::size_t> balancers;
    for (std::size_t index = 0; index < m_balancerCount; ++index) {
        const ScenarioProcess &process = m_processes[index];
        const bool isServing = process.isAlive && !m_network.isFrozen(process.party);
        if (isServing || m_network.now() - process.endedAt < fabricLag) {
            balancers.push_back(index);
        }
    }
    if (balancers.empty()) {
        return;
    }
    const std::size_t balancer = balancers[m_random() % balancers.size()];
    const quint64 lifetime = m_processes[balancer].lifetime;
    m_network.sendDatagram(m_callerParties[caller], m_processes[balancer].party, [this, balancer, lifetime, flow, message](TimePoint) {
        if (isSameLifetime(balancer, lifetime)) {
            routePacket(balancer, flow, message);
        }
    });
}

void ScenarioRun::routePacket(std::size_t balancer, const FlowKey &flow, const CallerMessage &message)
{
    ScenarioProcess &process = m_processes[balancer];
    const auto *request = std::get_if<Request>(&message);
    if (m_settings.baselinePoint == 6 && request != nullptr) {
        refuseAfterTimeout(balancer, flow, *request);
    }
    const RouteDecision decision = process.router->route(m_network.now(), flow);
    if (decision.drop != DropReason::None) {
        return;
    }
    ++m_forwardedPackets;
    PeerMessage forwarded;
    forwarded.header = headerOf(process);
    forwarded.header.service = decision.service;
    forwarded.header.destination = decision.next.target;
    forwarded.body = Forward{decision.hops, flow, encodeCallerMessage(message)};
    sendPeer(balancer, decision.next.endpoint, forwarded);
}

void ScenarioRun::refuseAfterTimeout(std::size_t balancer, const FlowKey &flow, const Request &request)
{
    m_network.after(baselineRefusalTimeout, [this, balancer, lifetime = m_processes[balancer].lifetime, flow, request](TimePoint) {
        if (isSameLifetime(balancer, lifetime)) {
            sendToCaller(balancer, flow, Refused{request.nonce, request.number, RefusalReason::TargetTimeout, Outcome::NotRun});
        }
    });
}

TunnelHeader ScenarioRun::headerOf(const ScenarioProcess &process) const
{
    TunnelHeader header;
    const ConfigurationPointer known = process.inForce != nullptr ? process.inForce : process.source->configuration();
    header.version = known != nullptr ? known->version() : ConfigurationVersion{};
    header.senderEndpoint = process.tunnel;
    header.senderIncarnation = process.incarnation;
    if (process.role == InstanceRole::Agent) {
        const DeployedTarget &target = m_deployment.targets[process.target];
        header.sender = targetIdOf(target.name.toUtf8());
        header.service = serviceIdOf(target.service.toUtf8());
    }
    return header;
}

void ScenarioRun::sendPeer(std::size_t from, const Endpoint &to, const PeerMessage &message)
{
    const auto found = m_processByEndpoint.find(to);
    if (found == m_processByEndpoint.end()) {
        return;
    }
    const std::size_t receiver = found->second;
    // A datagram reaches the process that listens on the address when it arrives, also after a restart in between.
    m_network.sendDatagram(m_processes[from].party, m_processes[receiver].party, [this, receiver, message](TimePoint) {
        if (m_processes[receiver].isAlive) {
            receivePeer(receiver, message);
        }
    });
}

void ScenarioRun::receivePeer(std::size_t index, const PeerMessage &message)
{
    ScenarioProcess &process = m_processes[index];
    const TimePoint now = m_network.now();
    const auto *notice = bodyOf<VersionNotice>(message);
    SpreadActions spreadActions;
    process.source->onPeerVersion(
        now, message.header.senderEndpoint, message.header.version, notice != nullptr ? std::optional(*notice) : std::nullopt, spreadActions);
    execute(index, spreadActions);
    adoptIfReady(process);
    if (process.router != nullptr) {
        process.router->onVersionCompared(now, message.header.version);
        if (const auto *suspicion = bodyOf<Suspicion>(message)) {
            process.router->onSuspicion(now, *suspicion);
        }
        return;
    }
    AgentActions actions;
    process.agent->onPeerMessage(now, message, actions);
    execute(index, actions);
}

void ScenarioRun::sendToCaller(std::size_t from, const FlowKey &flow, const CallerMessage &message)
{
    const auto found = m_callerByAddress.find(flow.caller.address);
    if (found == m_callerByAddress.end()) {
        return;
    }
    const std::size_t caller = found->second;
    m_network.sendDatagram(
        m_processes[from].party, m_callerParties[caller], [this, caller, flow, message](TimePoint now) { m_callers[caller]->onMessage(now, flow, message); });
}

// Actions

void ScenarioRun::execute(std::size_t process, const AgentActions &actions)
{
    for (const AgentAction &action : actions) {
        execute(process, action);
    }
}

void ScenarioRun::execute(std::size_t index, const AgentAction &action)
{
    const ScenarioProcess &process = m_processes[index];
    if (const auto *toPeer = std::get_if<SendToPeer>(&action)) {
        m_extraHops += bodyOf<Forward>(toPeer->message) != nullptr ? 1 : 0;
        sendPeer(index, toPeer->to, toPeer->message);
    } else if (const auto *toCaller = std::get_if<SendToCaller>(&action)) {
        sendToCaller(index, toCaller->flow, toCaller->message);
    } else if (const auto *toTarget = std::get_if<SendToTarget>(&action)) {
        // The target runs on the same host as its agent, so network faults do not affect their messages.
        m_network.after(m_settings.step / 200,
                        [target = m_targets[process.target].get(), command = toTarget->command](TimePoint) { target->onCommand(command); });
    } else if (const auto *suspicion = std::get_if<SpreadSuspicion>(&action)) {
        spreadSuspicion(index, suspicion->suspicion);
    } else if (const auto *retry = std::get_if<RetryElsewhere>(&action)) {
        static_cast<void>(retry);
    }
}

void ScenarioRun::spreadSuspicion(std::size_t index, const Suspicion &suspicion)
{
    const ScenarioProcess &sender = m_processes[index];
    PeerMessage message;
    message.header = headerOf(sender);
    message.body = suspicion;
    for (const ScenarioProcess &process : m_processes) {
        if (process.role == InstanceRole::Balancer) {
            sendPeer(index, process.tunnel, message);
        }
    }
}

void ScenarioRun::execute(std::size_t process, const SpreadActions &actions)
{
    for (const SpreadAction &action : actions) {
        execute(process, action);
    }
}

void ScenarioRun::execute(std::size_t index, const SpreadAction &action)
{
    ScenarioProcess &process = m_processes[index];
    if (const auto *notice = std::get_if<SendVersionNotice>(&action)) {
        PeerMessage message;
        message.header = headerOf(process);
        if (process.source->configuration() != nullptr) {
            message.header.version = process.source->configuration()->version();
        }
        message.body = notice->notice;
        sendPeer(index, notice->to, message);
    } else if (const auto *document = std::get_if<PullDocument>(&action)) {
        pull(index, *document);
    } else if (const auto *read = std::get_if<ReadPlatform>(&action)) {
        readPlatform(index, read->afterRevision);
    } else if (const auto *adopt = std::get_if<ApplyConfiguration>(&action)) {
        process.adopted = adopt->configuration;
        adoptIfReady(process);
    }
}

void ScenarioRun::pull(std::size_t index, const PullDocument &pull)
{
    const auto found = m_processByEndpoint.find(pull.admin);
    const std::size_t peer = found != m_processByEndpoint.end() ? found->second : index;
    const quint64 lifetime = m_processes[index].lifetime;
    const auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, index, lifetime, admin = pull.admin, isAnswered](const std::optional<QByteArray> &text) {
        if (*isAnswered || !isSameLifetime(index, lifetime)) {
            return;
        }
        *isAnswered = true;
        SpreadActions actions;
        m_processes[index].source->onPulledDocument(m_network.now(), admin, text, actions);
        execute(index, actions);
    };
    m_network.sendReliably(m_processes[index].party, m_processes[peer].party, [this, index, peer, from = pull.from, answer](TimePoint) {
        if (!m_processes[peer].isAlive) {
            return;
        }
        const QByteArray text = m_processes[peer].source->documentDelta(from);
        m_network.sendReliably(m_processes[peer].party, m_processes[index].party, [answer, text](TimePoint) { answer(text); });
    });
    // The process sends the failure to itself, so that a frozen process receives it after it resumes.
    m_network.after(pullTimeout, [this, index, answer](TimePoint) {
        m_network.sendReliably(m_processes[index].party, m_processes[index].party, [answer](TimePoint) { answer(std::nullopt); });
    });
}

void ScenarioRun::readPlatform(std::size_t index, quint64 afterRevision)
{
    const quint64 lifetime = m_processes[index].lifetime;
    m_platform.read(m_processes[index].party, afterRevision, [this, index, lifetime](TimePoint now, const auto &result) {
        if (!isSameLifetime(index, lifetime)) {
            return;
        }
        SpreadActions actions;
        if (result) {
            m_processes[index].source->onPlatformDocument(now, result->first, result->second, actions);
        } else {
            m_processes[index].source->onPlatformFailure(now, actions);
        }
        execute(index, actions);
    });
}

void ScenarioRun::setTargetSink(std::size_t index)
{
    const quint64 lifetime = m_processes[index].lifetime;
    m_targets[m_processes[index].target]->setReplySink([this, index, lifetime](const TargetReply &reply) {
        const PartyId party = m_processes[index].party;
        m_network.sendReliably(party, party, [this, index, lifetime, reply](TimePoint now) {
            if (!isSameLifetime(index, lifetime)) {
                return;
            }
            AgentActions actions;
            m_processes[index].agent->onTargetReply(now, reply, actions);
            execute(index, actions);
        });
    });
}

bool ScenarioRun::isSameLifetime(std::size_t index, quint64 lifetime) const
{
    return m_processes[index].isAlive && m_processes[index].lifetime == lifetime;
}

VirtualTime ScenarioRun::virtualNow() const
{
    return virtualTimeOf(m_network.now());
}

}
