#include "balancer/servicetables.h"

#include "core/assertion.h"

namespace Rattanpick
{

namespace
{

/// Maximum number of first candidates of earlier tables in a hop list.
constexpr std::size_t earlierHops = 2;

}

void ServiceTables::applyConfiguration(const ConfigurationPointer &configuration)
{
    RP_ASSERT(configuration != nullptr);
    RP_ASSERT(m_configuration == nullptr || m_configuration->version() < configuration->version());
    m_configuration = configuration;
    std::erase_if(m_generations, [&configuration](const auto &entry) { return configuration->findService(ServiceId{entry.first}) == nullptr; });
    for (const Service &service : configuration->services()) {
        if (m_onlyService != ServiceId{} && service.id != m_onlyService) {
            continue;
        }
        applyService(service);
    }
    excludeUnavailableDataCentres();
}

void ServiceTables::restrictTo(ServiceId service)
{
    m_onlyService = service;
    std::erase_if(m_generations, [service](const auto &entry) { return ServiceId{entry.first} != service; });
}

const CandidateTable *ServiceTables::current(ServiceId service) const
{
    const auto *tables = generations(service);
    return tables != nullptr ? tables->front().table.get() : nullptr;
}

const std::deque<ServiceTables::Generation> *ServiceTables::generations(ServiceId service) const
{
    const auto found = m_generations.find(static_cast<quint32>(service));
    return found != m_generations.end() ? &found->second : nullptr;
}

HopList ServiceTables::hopsOf(ServiceId service, const FlowKey &flow) const
{
    HopList hops;
    const auto *tables = generations(service);
    if (tables == nullptr) {
        return hops;
    }
    for (const Hop &candidate : tables->front().table->candidatesOf(flow)) {
        if (candidate.target == TargetId{}) {
            break;
        }
        hops.append(candidate);
    }
    const std::size_t limit = hops.size() + earlierHops;
    for (std::size_t index = 1; index < tables->size() && hops.size() < limit; ++index) {
        Hop earlier = (*tables)[index].table->candidatesOf(flow).front();
        if (earlier.target == TargetId{} || m_excludedTargets.contains(static_cast<quint32>(earlier.target))) {
            continue;
        }
        // The agent may have moved since the table was built, and its old address may now belong to another service.
        if (const Target *target = m_configuration->findTarget(earlier.target)) {
            if (target->service != service) {
                continue;
            }
            earlier.endpoint = target->agent;
        }
        hops.append(earlier);
    }
    return hops;
}

void ServiceTables::applyService(const Service &service)
{
    std::deque<Generation> &tables = m_generations[static_cast<quint32>(service.id)];
    for (const Target *target : m_configuration->targetsOf(service.id)) {
        m_dataCentres[static_cast<quint32>(target->id)] = target->dataCentre;
    }
    if (!tables.empty() && tables.front().table->isBuiltFrom(*m_configuration, service.id)) {
        return;
    }
    tables.push_front({m_configuration->version(), std::make_shared<const CandidateTable>(*m_configuration, service.id)});
    if (tables.size() > historyLength) {
        tables.pop_back();
    }
}

void ServiceTables::excludeUnavailableDataCentres()
{
    // A target that is in no kept table is never a hop, so its data centre can be discarded.
    std::unordered_set<quint32> listed;
    for (const auto &[service, tables] : m_generations) {
        for (const Generation &generation : tables) {
            for (const Hop &hop : generation.table->targets()) {
                listed.insert(static_cast<quint32>(hop.target));
            }
        }
    }
    std::erase_if(m_dataCentres, [&listed](const auto &entry) { return !listed.contains(entry.first); });

    m_excludedTargets.clear();
    for (const auto &[target, name] : m_dataCentres) {
        const DataCentre *dataCentre = m_configuration->findDataCentre(name);
        if (dataCentre == nullptr || dataCentre->isOut) {
            m_excludedTargets.insert(target);
        }
    }
}

}
