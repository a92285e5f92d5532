#pragma once

#include "balancer/candidatetable.h"
#include "core/configurationversion.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace Rattanpick
{

/// The candidate tables of all services, with the latest earlier ones of each service.
class ServiceTables
{
public:
    /// Tables kept for each service, the one in force included.
    static constexpr std::size_t historyLength = 4;

    /// One table and the first version that it was in force under.
    struct Generation
    {
        ConfigurationVersion since;
        std::shared_ptr<const CandidateTable> table;
    };

    /// Puts a configuration in force; only services whose serving targets changed get a new table.
    void applyConfiguration(const ConfigurationPointer &configuration);

    /// Keeps the tables of the given service only; agents need no others.
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

    /// The hop list of a flow: its candidates, then first candidates of earlier tables; allocates nothing.
    ///
    /// Targets in a data centre that is out are never listed; those that drain or have left the document are.
    HopList hopsOf(ServiceId service, const FlowKey &flow) const;

private:
    void applyService(const Service &service);
    void barLeftDataCentres();

    ConfigurationPointer m_configuration;
    ServiceId m_onlyService{};
    std::unordered_map<quint32, std::deque<Generation>> m_generations;
    /// The data centre of each target in a kept table, as the latest document that names the target has it.
    std::unordered_map<quint32, QString> m_dataCentres;
    /// Targets of kept tables whose data centre is out or gone.
    std::unordered_set<quint32> m_barred;
};

}
