#include "proof/faultinjector.h"

#include "proof/scenariorun.h"

#include <algorithm>

namespace Rattanpick::Proof
{

namespace
{

constexpr LinkSettings lossyLinks{.loss = 0.1, .duplication = 0.1, .reordering = 0.2, .reorderDelay = 80ms};

/// Links of a lossy pair of processes: most datagrams are lost or delayed, and many are duplicated.
constexpr LinkSettings lossyPairLinks{.loss = 0.4, .duplication = 0.3, .reordering = 0.5, .reorderDelay = 400ms};
constexpr std::size_t pairStride = 5;

/// Minimum number of targets of a service that operators keep in service.
constexpr std::size_t minimumServingTargets = 2;

constexpr double slowedTargetSpeed = 0.15;

}

FaultInjector::FaultInjector(ScenarioRun &run)
    : m_run(run)
{
}

void FaultInjector::schedule(const FaultPlan &plan, Duration begin)
{
    for (const Fault &fault : plan) {
        m_run.network().after(begin + fault.at, [this, fault](TimePoint) { this->begin(fault); });
    }
}

void FaultInjector::begin(const Fault &fault)
{
    using Begin = Undo (FaultInjector::*)(const Fault &);
    Begin beginFault = &FaultInjector::beginOperatorChange;
    if (fault.kind <= FaultKind::FreezeAgent) {
        beginFault = &FaultInjector::beginProcessFault;
    } else if (fault.kind <= FaultKind::LossyPair) {
        beginFault = &FaultInjector::beginNetworkFault;
    } else if (fault.kind <= FaultKind::SlowTarget) {
        beginFault = &FaultInjector::beginTargetFault;
    } else if (fault.kind <= FaultKind::PlatformRestored) {
        beginFault = &FaultInjector::beginPlatformFault;
    }
    const std::size_t number = m_undos.size();
    m_undos.emplace_back();
    m_undos[number] = (this->*beginFault)(fault);
    m_run.network().after(fault.duration, [this, number](TimePoint) { undo(number); });
}

void FaultInjector::undoAll()
{
    for (std::size_t number = 0; number < m_undos.size(); ++number) {
        undo(number);
    }
}

void FaultInjector::undo(std::size_t number)
{
    const Undo action = std::move(m_undos[number]);
    m_undos[number] = {};
    if (action) {
        action();
    }
}

// Processes

FaultInjector::Undo FaultInjector::beginProcessFault(const Fault &fault)
{
    const bool isBalancer = fault.kind == FaultKind::KillBalancer || fault.kind == FaultKind::FreezeBalancer;
    const std::size_t process = isBalancer ? fault.subject % m_run.balancerCount() : m_run.agentOf(listedTarget(fault.subject));
    if (!m_run.processes()[process].isAlive) {
        return {};
    }
    switch (fault.kind) {
    case FaultKind::KillBalancer:
    case FaultKind::KillAgent:
        m_run.kill(process);
        return [this, process] {
            m_run.start(process);
        };
    case FaultKind::StopAgent:
        m_run.stopAgent(process);
        return {};
    default:
        m_run.freeze(process);
        return [this, process] {
            m_run.resume(process);
        };
    }
}

// Network

FaultInjector::Undo FaultInjector::beginNetworkFault(const Fault &fault)
{
    if (fault.kind == FaultKind::LossyNetwork) {
        m_run.network().setLinkSettings(lossyLinks);
        return [this] {
            m_run.network().setLinkSettings(m_run.settings().links);
        };
    }
    const auto &processes = m_run.processes();
    if (fault.kind == FaultKind::LossyPair) {
        // The distance between the two processes varies with the subject, so that all kinds of pairs occur.
        const PartyId first = processes[fault.subject % processes.size()].party;
        const PartyId second = processes[(fault.subject * pairStride + 1) % processes.size()].party;
        m_run.network().setPairSettings(first, second, lossyPairLinks);
        return [this, first, second] {
            m_run.network().clearPairSettings(first, second);
        };
    }
    if (fault.kind == FaultKind::CutAgent) {
        return cutOff({m_run.agentOf(listedTarget(fault.subject))}, [](std::size_t) { return true; });
    }
    if (fault.kind == FaultKind::CutBalancer) {
        // The balancer still reaches the agents of its own data centre, so that it keeps sending them packets that are
        // routed by an outdated configuration.
        const std::size_t balancer = fault.subject % m_run.balancerCount();
        const QString dataCentre = processes[balancer].dataCentre;
        return cutOff({balancer}, [&processes, dataCentre](std::size_t other) {
            return processes[other].role == InstanceRole::Balancer || processes[other].dataCentre != dataCentre;
        });
    }
    const auto &dataCentres = m_run.deployment().dataCentres;
    const QString dataCentre = dataCentres[fault.subject % dataCentres.size()].name;
    std::vector<std::size_t> inside;
    for (std::size_t index = 0; index < processes.size(); ++index) {
        if (processes[index].dataCentre == dataCentre) {
            inside.push_back(index);
        }
    }
    return cutOff(inside, [&processes, dataCentre](std::size_t other) { return processes[other].dataCentre != dataCentre; });
}

FaultInjector::Undo FaultInjector::cutOff(const std::vector<std::size_t> &cut, const std::function<bool(std::size_t)> &from)
{
    const auto &processes = m_run.processes();
    const auto predicate = [&processes, from](const ScenarioProcess &other) {
        return from(static_cast<std::size_t>(&other - processes.data()));
    };
    for (const std::size_t process : cut) {
        m_run.cutOff(process, predicate);
    }
    return [this, cut, predicate] {
        for (const std::size_t process : cut) {
            m_run.reconnect(process, predicate);
        }
    };
}

// Targets

FaultInjector::Undo FaultInjector::beginTargetFault(const Fault &fault)
{
    FakeTarget &target = *m_run.targets()[listedTarget(fault.subject)];
    switch (fault.kind) {
    case FaultKind::RestartTarget:
        target.restart();
        return {};
    case FaultKind::TurnTargetCold:
        target.turnColdSilently();
        return {};
    default:
        break;
    }
    const double speed = target.settings().speed;
    target.setSpeed(slowedTargetSpeed);
    return [&target, speed] {
        target.setSpeed(speed);
    };
}

// Platform

FaultInjector::Undo FaultInjector::beginPlatformFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::PlatformDown:
        m_run.setPlatformDown(true);
        return [this] {
            m_run.setPlatformDown(false);
        };
    case FaultKind::PlatformStale:
        m_run.platform().setStale(true);
        return [this] {
            m_run.platform().setStale(false);
        };
    default:
        m_run.platform().restoreFirstDocument();
        return {};
    }
}

// Operators

FaultInjector::Undo FaultInjector::beginOperatorChange(const Fault &fault)
{
    const std::size_t target = listedTarget(fault.subject);
    Deployment &deployment = m_run.deployment();
    switch (fault.kind) {
    case FaultKind::DrainTarget:
    case FaultKind::RemoveTarget:
        return withdrawTarget(target, fault.kind == FaultKind::RemoveTarget);
    case FaultKind::AddTarget:
        m_run.addTarget(deployment.services[fault.subject % deployment.services.size()].name);
        m_run.publish();
        return {};
    case FaultKind::TakeOutDataCentre:
        return takeOut(fault.subject % deployment.dataCentres.size());
    case FaultKind::RaceDocuments:
        raceDocuments(target);
        return {};
    case FaultKind::ReuseAddress:
        if (canLeaveService(target)) {
            m_run.reuseAddress(target);
        }
        return {};
    default:
        deployment.targets[target].weight = 50 + static_cast<int>(fault.subject % 4) * 50;
        m_run.publish();
        return {};
    }
}

FaultInjector::Undo FaultInjector::withdrawTarget(std::size_t target, bool isRemoved)
{
    if (!canLeaveService(target)) {
        return {};
    }
    const auto set = [this, target, isRemoved](bool isLeaving) {
        DeployedTarget &entry = m_run.deployment().targets[target];
        if (!isLeaving && !m_run.ownsAddress(target)) {
            return;
        }
        (isRemoved ? entry.isListed : entry.isDraining) = isRemoved != isLeaving;
        m_run.publish();
    };
    set(true);
    return [set] {
        set(false);
    };
}

FaultInjector::Undo FaultInjector::takeOut(std::size_t dataCentre)
{
    const auto isOut = [](const DeployedDataCentre &entry) {
        return entry.isOut;
    };
    if (std::ranges::any_of(m_run.deployment().dataCentres, isOut)) {
        return {};
    }
    m_run.deployment().dataCentres[dataCentre].isOut = true;
    m_run.publish();
    return [this, dataCentre] {
        m_run.deployment().dataCentres[dataCentre].isOut = false;
        m_run.publish();
    };
}

void FaultInjector::raceDocuments(std::size_t subject)
{
    Deployment &deployment = m_run.deployment();
    deployment.targets[subject].weight = 60;
    m_run.publish();
    m_run.network().after(1ms, [this, subject](TimePoint) {
        m_run.deployment().targets[subject].weight = 140;
        m_run.publish(true);
    });
}

bool FaultInjector::canLeaveService(std::size_t target) const
{
    const auto &targets = m_run.deployment().targets;
    const auto serving = std::ranges::count_if(
        targets, [&](const DeployedTarget &entry) { return entry.service == targets[target].service && entry.isListed && !entry.isDraining; });
    return targets[target].isListed && !targets[target].isDraining && static_cast<std::size_t>(serving) > minimumServingTargets;
}

std::size_t FaultInjector::listedTarget(std::size_t subject) const
{
    const auto &targets = m_run.deployment().targets;
    std::size_t target = subject % targets.size();
    while (!targets[target].isListed) {
        target = (target + 1) % targets.size();
    }
    return target;
}

}
