#pragma once

#include "balancer/router.h"
#include "configservice/instance.h"
#include "proof/agentundertest.h"
#include "proof/configurationsource.h"
#include "proof/fakenetwork.h"

#include <QString>

#include <memory>

namespace Rattanpick::Proof
{

/// One balancer or agent of a run, across restarts.
struct ScenarioProcess
{
    QString name;
    InstanceRole role = InstanceRole::Balancer;
    QString dataCentre;
    PartyId party = 0;
    Endpoint tunnel;
    Endpoint admin;
    /// Of an agent: index of its target in the targets of the run.
    std::size_t target = 0;

    bool isAlive = false;
    bool isStopping = false;
    /// Increases with each start and end, so that replies to an earlier incarnation are dropped.
    quint64 lifetime = 0;
    Incarnation incarnation{};
    TimePoint endedAt;
    /// Of a balancer only.
    std::unique_ptr<Router> router;
    /// Of an agent only.
    std::unique_ptr<AgentUnderTest> agent;
    std::unique_ptr<ConfigurationSource> source;
    /// Configuration that the source has accepted and that waits until the process is ready.
    ConfigurationPointer adopted;
    /// Configuration that the router or agent uses.
    ConfigurationPointer inForce;
};

}
