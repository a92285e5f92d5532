#pragma once

#include "proof/designagent.h"

#include <functional>

namespace Rattanpick::Proof
{

/// Baseline: an agent that runs with an altered configuration.
///
/// Used for an agent without fencing (its data centre is always in), an agent that ignores that its target is draining,
/// and an agent without a ramp (its service has no cold phase).
class EditedConfigurationAgent : public DesignAgent
{
public:
    /// Edits the parts of a configuration before the agent applies it.
    using Edit = std::function<void(std::vector<DataCentre> &dataCentres, std::vector<Service> &services, std::vector<Target> &targets)>;

    EditedConfigurationAgent(const TargetAgentSettings &settings, TimePoint now, Edit edit);

    void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions) override;

    /// Edit that keeps the agent's own data centre in.
    static Edit withoutFence(const QString &dataCentre);

    /// Edit that removes the draining state of the agent's own target.
    static Edit withoutDraining(TargetId target);

    /// Edit that gives cold targets their full load at once.
    static Edit withoutRamp();

private:
    Edit m_edit;
};

}
