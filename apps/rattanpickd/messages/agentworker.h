#pragma once

#include "rattanpickd/messages/decisionworker.h"

#include "agent/targetagent.h"

#include <unordered_set>

namespace Rattanpick
{

/// Decision worker of the process next to a target.
class AgentWorker : public DecisionWorker
{
public:
    /// Creates a worker without a TargetAgent; the service of the target is unknown until a configuration is in force.
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
    void execute(TimePoint now, AgentActions &actions);
    void execute(TimePoint now, AgentAction &action);
    ConfigurationVersion version() const;
    TunnelHeader header() const;

    std::unique_ptr<TargetAgent> m_agent;
    ConfigurationPointer m_configuration;
    std::unordered_set<quint32> m_listed;
    AgentActions m_actions;
};

}
