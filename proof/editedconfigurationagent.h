#pragma once

#include "proof/designagent.h"

#include <functional>

namespace Rattanpick::Proof
{

/// Baseline: an agent that believes something else than the document says about its own target.
///
/// Used for an agent without a fence (its data centre is always in), without heed to draining, and
/// without a ramp (its service has no cold phase).
class EditedConfigurationAgent : public DesignAgent
{
public:
    /// Changes the parts of a configuration before the agent gets it.
    using Edit = std::function<void(std::vector<DataCentre> &dataCentres, std::vector<Service> &services, std::vector<Target> &targets)>;

    /// Builds the agent.
    EditedConfigurationAgent(const TargetAgentSettings &settings, TimePoint now, Edit edit);

    void applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions) override;

    /// The agent's own data centre is always in.
    static Edit withoutFence(const QString &dataCentre);

    /// The agent's own target never drains.
    static Edit withoutDraining(TargetId target);

    /// A cold target bears everything at once.
    static Edit withoutRamp();

private:
    Edit m_edit;
};

}
