#include "operators/configuration.h"

#include "core/assertion.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Rattanpick
{

Configuration::Configuration(const ConfigurationVersion &version,
                             std::vector<DataCentre> dataCentres,
                             std::vector<Service> services,
                             std::vector<Target> targets)
    : m_version(version)
    , m_dataCentres(std::move(dataCentres))
    , m_services(std::move(services))
    , m_targets(std::move(targets))
{
    // Sorting makes the configuration independent of the order of the sections in the document.
    std::ranges::sort(m_dataCentres, {}, &DataCentre::name);
    std::ranges::sort(m_services, {}, &Service::id);
    std::ranges::sort(m_targets, [](const Target &a, const Target &b) { return std::tie(a.service, a.id) < std::tie(b.service, b.id); });

    for (std::size_t index = 0; index < m_services.size(); ++index) {
        m_serviceByAddress.emplace(m_services[index].address, index);
    }
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        RP_ASSERT(findService(m_targets[index].service) != nullptr);
        RP_ASSERT(findDataCentre(m_targets[index].dataCentre) != nullptr);
        m_targetById.emplace(static_cast<quint32>(m_targets[index].id), index);
    }
}

const Service *Configuration::findService(ServiceId id) const
{
    const auto found = std::ranges::lower_bound(m_services, id, {}, &Service::id);
    return found != m_services.end() && found->id == id ? &*found : nullptr;
}

const Service *Configuration::findService(const Endpoint &address) const
{
    const auto found = m_serviceByAddress.find(address);
    return found != m_serviceByAddress.end() ? &m_services[found->second] : nullptr;
}

const Target *Configuration::findTarget(TargetId id) const
{
    const auto found = m_targetById.find(static_cast<quint32>(id));
    return found != m_targetById.end() ? &m_targets[found->second] : nullptr;
}

const DataCentre *Configuration::findDataCentre(const QString &name) const
{
    const auto found = std::ranges::lower_bound(m_dataCentres, name, {}, &DataCentre::name);
    return found != m_dataCentres.end() && found->name == name ? &*found : nullptr;
}

std::vector<const Target *> Configuration::targetsOf(ServiceId id) const
{
    std::vector<const Target *> targets;
    for (auto target = std::ranges::lower_bound(m_targets, id, {}, &Target::service); target != m_targets.end() && target->service == id; ++target) {
        targets.push_back(&*target);
    }
    return targets;
}

bool Configuration::isServing(const Target &target) const
{
    const DataCentre *dataCentre = findDataCentre(target.dataCentre);
    RP_ASSERT(dataCentre != nullptr);
    return !target.isDraining && !dataCentre->isOut;
}

}
