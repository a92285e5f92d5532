#pragma once

#include "balancer/candidatetable.h"
#include "core/configurationversion.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace Rattanpick
{

/// The candidate tables of all services, including the most recent earlier tables of each service.
class ServiceTables
{
public:
    /// Number of tables kept per service, including the one in force.
    static constexpr std::size_t historyLength = 4;

    /// A table and the first configuration version that it was in force with.
    struct Generation
    {
        ConfigurationVersion since;
        std::shared_ptr<const CandidateTable> table;
    };

    /// Puts a configuration in force; builds new tables only for services whose serving targets changed.
    void applyConfiguration(const ConfigurationPointer &configuration);

    /// Keeps only the tables of the given service; an agent needs no others.
    void restrictTo(ServiceId service);

    /// The configuration in force, or null.
    const ConfigurationPointer &configuration() const
    {
        return m_configuration;
    }

    /// The table in force for the service, or null.
    const CandidateTable *current(ServiceId service) const;

    /// The tables of the service, the one in force first, or null.
    const std::deque<Generation> *generations(ServiceId service) const;

    /// The hop list of a flow: its candidates, then first candidates of earlier tables; allocates no memory.
    ///
    /// Never contains targets in a data centre that is out. Contains targets that drain or were removed from the
    /// document, since they may still own flows.
    HopList hopsOf(ServiceId service, const FlowKey &flow) const;

private:
    void applyService(const Service &service);
    void excludeUnavailableDataCentres();

    ConfigurationPointer m_configuration;
    ServiceId m_onlyService{};
    std::unordered_map<quint32, std::deque<Generation>> m_generations;
    /// The data centre of each target in a kept table, from the latest document that contains the target.
    std::unordered_map<quint32, QString> m_dataCentres;
    /// Targets of kept tables whose data centre is out or was removed from the document.
    std::unordered_set<quint32> m_excludedTargets;
};

}
