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

/// What the parts of a TargetAgent share: identity, configuration, peers and random numbers.
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

    /// This agent as a hop.
    Hop self() const
    {
        return {m_settings.target, m_settings.endpoint};
    }

    /// A flow incarnation that no other flow of any process has; never 0.
    Incarnation nextFlowIncarnation();

    /// Random numbers of this agent.
    std::mt19937_64 &random()
    {
        return m_random;
    }

    // Configuration

    /// The tables of the agent's service.
    ServiceTables &tables()
    {
        return m_tables;
    }

    /// The configuration in force, or null.
    const ConfigurationPointer &configuration() const
    {
        return m_tables.configuration();
    }

    /// Version in force; a null version without a configuration.
    ConfigurationVersion version() const;

    /// The candidates of the flow under the configuration in force; targets 0 if there are none.
    CandidateTable::Candidates candidatesOf(const FlowKey &flow) const;

    /// The first candidate of the flow that is not suspected; target 0 if there is none.
    Hop homeAgentOf(const FlowKey &flow) const;

    /// The other candidate that may run a retried request: the least loaded one that is settled and not suspected; target 0 if there is none.
    Hop retryCandidate(TimePoint now, const FlowKey &flow) const;

    /// Where the agent of the target listens: by the configuration if it names the target, else as given.
    Hop currentHop(const Hop &hop) const;

    // Peers

    /// What is known of the other agents.
    PeerView &peers()
    {
        return m_peers;
    }

    /// What is known of the other agents.
    const PeerView &peers() const
    {
        return m_peers;
    }

    // Messages

    /// Sets what the headers of later messages tell about this agent.
    void setHeaderState(quint16 loadPermille, quint8 flags);

    /// Load as the headers tell it.
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
