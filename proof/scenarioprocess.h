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

/// One balancer or agent of a run, over all of its lives.
struct ScenarioProcess
{
    QString name;
    InstanceRole role = InstanceRole::Balancer;
    QString dataCentre;
    PartyId party = 0;
    Endpoint tunnel;
    Endpoint admin;
    /// The target beside an agent, as an index into the targets of the run.
    std::size_t target = 0;

    bool isAlive = false;
    bool isStopping = false;
    /// Rises with each life, so that messages to an earlier life are lost.
    quint64 life = 0;
    Incarnation incarnation{};
    TimePoint endedAt;
    /// Of a balancer.
    std::unique_ptr<Router> router;
    /// Of an agent.
    std::unique_ptr<AgentUnderTest> agent;
    std::unique_ptr<ConfigurationSource> source;
    /// What the source has adopted before the process was ready.
    ConfigurationPointer adopted;
    /// What is in force in the router or agent.
    ConfigurationPointer inForce;
};

}
