#include "proof/editedconfigurationagent.h"

namespace Rattanpick::Proof
{

EditedConfigurationAgent::EditedConfigurationAgent(const TargetAgentSettings &settings, TimePoint now, Edit edit)
    : DesignAgent(settings, now)
    , m_edit(std::move(edit))
{
}

void EditedConfigurationAgent::applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions)
{
    std::vector<DataCentre> dataCentres = configuration->dataCentres();
    std::vector<Service> services = configuration->services();
    std::vector<Target> targets = configuration->targets();
    m_edit(dataCentres, services, targets);
    DesignAgent::applyConfiguration(now, std::make_shared<const Configuration>(configuration->version(), dataCentres, services, targets), actions);
}

EditedConfigurationAgent::Edit EditedConfigurationAgent::withoutFence(const QString &dataCentre)
{
    return [dataCentre](std::vector<DataCentre> &dataCentres, std::vector<Service> &, std::vector<Target> &) {
        for (DataCentre &entry : dataCentres) {
            entry.isOut = entry.isOut && entry.name != dataCentre;
        }
    };
}

EditedConfigurationAgent::Edit EditedConfigurationAgent::withoutDraining(TargetId target)
{
    return [target](std::vector<DataCentre> &, std::vector<Service> &, std::vector<Target> &targets) {
        for (Target &entry : targets) {
            entry.isDraining = entry.isDraining && entry.id != target;
        }
    };
}

EditedConfigurationAgent::Edit EditedConfigurationAgent::withoutRamp()
{
    return [](std::vector<DataCentre> &, std::vector<Service> &services, std::vector<Target> &) {
        for (Service &entry : services) {
            entry.coldSharePercent = 100;
        }
    };
}

}
