#pragma once

#include "core/configurationversion.h"
#include "core/endpoint.h"
#include "core/identifiers.h"

#include <QByteArray>
#include <QString>

#include <memory>
#include <unordered_map>
#include <vector>

namespace Rattanpick
{

/// How a service resolves the conflict between unbroken flows and continued service during data centre moves.
enum class Preference : quint8 {
    Flows,
    Service,
};

/// A data centre, as defined in the document.
struct DataCentre
{
    QString name;
    QString owner;
    QString region;
    bool isOut = false;

    bool operator==(const DataCentre &) const = default;
};

/// A service, as defined in the document.
struct Service
{
    QString name;
    ServiceId id{};
    QString owner;
    /// The address that callers send to.
    Endpoint address;
    Preference preference = Preference::Flows;
    /// Initial load of a cold target, in percent of its full load, 1 to 100.
    int coldSharePercent = 10;
    /// Time until a cold target is warm, in seconds.
    int warmSeconds = 30;
    /// Number of retries allowed per 100 requests.
    int retryBudgetPercent = 10;

    bool operator==(const Service &) const = default;
};

/// A target, as defined in the document.
struct Target
{
    QString name;
    TargetId id{};
    QString owner;
    ServiceId service{};
    QString dataCentre;
    /// Address of the tunnel socket of the agent next to the target.
    Endpoint agent;
    /// Relative share of new flows, 1 to 10000.
    quint32 weight = 100;
    /// Maximum number of requests that the target runs concurrently.
    quint32 slots = 1;
    /// Maximum number of concurrent flows of the target.
    quint32 connections = 2000;
    bool isDraining = false;

    bool operator==(const Target &) const = default;
};

/// An accepted document. Immutable and shared between the threads of a process.
class Configuration
{
public:
    /// Creates a configuration from the entries of a validated document. References between them must be valid.
    Configuration(const ConfigurationVersion &version, std::vector<DataCentre> dataCentres, std::vector<Service> services, std::vector<Target> targets);

    /// The number and digest of the document.
    const ConfigurationVersion &version() const
    {
        return m_version;
    }

    /// All data centres, ordered by name.
    const std::vector<DataCentre> &dataCentres() const
    {
        return m_dataCentres;
    }

    /// All services, ordered by identifier.
    const std::vector<Service> &services() const
    {
        return m_services;
    }

    /// All targets, ordered by service, then by identifier.
    const std::vector<Target> &targets() const
    {
        return m_targets;
    }

    /// The service with the identifier, or null.
    const Service *findService(ServiceId id) const;

    /// The service with the address, or null.
    const Service *findService(const Endpoint &address) const;

    /// The target with the identifier, or null.
    const Target *findTarget(TargetId id) const;

    /// The data centre with the name, or null.
    const DataCentre *findDataCentre(const QString &name) const;

    /// The targets of the service, ordered by identifier.
    std::vector<const Target *> targetsOf(ServiceId id) const;

    /// Whether the target may receive new flows: neither is it draining nor is its data centre out.
    bool isServing(const Target &target) const;

    bool operator==(const Configuration &other) const
    {
        return m_version == other.m_version && m_dataCentres == other.m_dataCentres && m_services == other.m_services && m_targets == other.m_targets;
    }

private:
    ConfigurationVersion m_version;
    std::vector<DataCentre> m_dataCentres;
    std::vector<Service> m_services;
    std::vector<Target> m_targets;
    std::unordered_map<Endpoint, std::size_t> m_serviceByAddress;
    std::unordered_map<quint32, std::size_t> m_targetById;
};

/// A configuration shared between threads.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

}
