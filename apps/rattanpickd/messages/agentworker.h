#pragma once

#include "rattanpickd/messages/decisionworker.h"

#include "agent/targetagent.h"

#include <unordered_set>

namespace Rattanpick
{

/// The decisions of the process beside a target.
class AgentWorker : public DecisionWorker
{
public:
    /// Builds the duty; the service of the target is known only once a configuration is in force.
    explicit AgentWorker(DaemonContext &context);

protected:
    void onUpdate(TimePoint now, const ConfigurationUpdate &update) override;
    void onReceived(TimePoint now, Received &received) override;
    void onTick(TimePoint now) override;
    void onStop(TimePoint now) override;
    bool hasStopped(TimePoint now) const override;
    QJsonObject describe(TimePoint now) const override;

private:
    void createAgent(TimePoint now, const Configuration &configuration);
    void applyInstances(TimePoint now);
    void carryOut(TimePoint now, AgentActions &actions);
    void carryOut(TimePoint now, AgentAction &action);
    ConfigurationVersion version() const;
    TunnelHeader header() const;

    std::unique_ptr<TargetAgent> m_agent;
    ConfigurationPointer m_configuration;
    std::unordered_set<quint32> m_listed;
    AgentActions m_actions;
};

}
