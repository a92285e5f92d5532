#pragma once

#include "agent/agentaction.h"
#include "agent/peerview.h"
#include "agent/targetagentsettings.h"
#include "balancer/servicetables.h"
#include "core/timepoint.h"

#include <QString>

#include <optional>
#include <random>

namespace Rattanpick
{

/// State shared by the parts of a TargetAgent: identity, configuration, peers and random numbers.
class AgentContext
{
public:
    /// Builds a context without a configuration.
    explicit AgentContext(const TargetAgentSettings &settings);

    // Identity

    /// The settings that the agent was built from.
    const TargetAgentSettings &settings() const
    {
        return m_settings;
    }

    /// The hop that addresses this agent.
    Hop self() const
    {
        return {m_settings.target, m_settings.endpoint};
    }

    /// Returns a random flow incarnation that is unique across flows and processes; never 0.
    Incarnation nextFlowIncarnation();

    /// The random number generator of this agent.
    std::mt19937_64 &random()
    {
        return m_random;
    }

    // Configuration

    /// The candidate tables of the agent's service.
    ServiceTables &tables()
    {
        return m_tables;
    }

    /// The configuration in force, or null.
    const ConfigurationPointer &configuration() const
    {
        return m_tables.configuration();
    }

    /// Version of the configuration in force; a null version without a configuration.
    ConfigurationVersion version() const;

    /// The candidates of the flow under the configuration in force; entries without a candidate have target 0.
    CandidateTable::Candidates candidatesOf(const FlowKey &flow) const;

    /// The home agent of the flow: its first candidate that is not suspected; target 0 if there is none.
    Hop homeAgentOf(const FlowKey &flow) const;

    /// The candidate to which a request is handed over: the least loaded other candidate that is settled and not
    /// suspected; target 0 if there is none.
    Hop retryCandidate(TimePoint now, const FlowKey &flow) const;

    /// The hop with the endpoint from the configuration if it contains the target, else unchanged.
    Hop currentHop(const Hop &hop) const;

    // Peers

    /// The recorded state of the other agents.
    PeerView &peers()
    {
        return m_peers;
    }

    /// The recorded state of the other agents.
    const PeerView &peers() const
    {
        return m_peers;
    }

    // Messages

    /// Sets the load and the flags that the headers of later messages carry.
    void setHeaderState(quint16 loadPermille, quint8 flags);

    /// The load that message headers carry.
    quint16 loadPermille() const
    {
        return m_loadPermille;
    }

    /// Appends a message to the agent of another target.
    void send(const Hop &to, PeerBody body, AgentActions &actions, quint8 hopCount = 0, quint8 flags = 0) const;

    /// Appends an event about a flow.
    static void record(EventNumber number, const FlowKey &flow, const QString &detail, AgentActions &actions);

private:
    TargetAgentSettings m_settings;
    ServiceTables m_tables;
    PeerView m_peers;
    std::mt19937_64 m_random;
    quint16 m_loadPermille = 0;
    quint8 m_flags = TunnelHeader::recoveryFlag;
};

}
