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

/// What a service gives up first when broken flows and service during data centre moves conflict.
enum class Preference : quint8 {
    Flows,
    Service,
};

/// A data centre as the document describes it.
struct DataCentre
{
    QString name;
    QString owner;
    QString region;
    bool isOut = false;

    bool operator==(const DataCentre &) const = default;
};

/// A service as the document describes it.
struct Service
{
    QString name;
    ServiceId id{};
    QString owner;
    /// The address that callers send to.
    Endpoint address;
    Preference preference = Preference::Flows;
    /// Share of its full load that a cold target bears, in percent, 1 to 100.
    int coldSharePercent = 10;
    /// Time in which a cold target becomes warm, in seconds.
    int warmSeconds = 30;
    /// Retries allowed for each hundred requests.
    int retryBudgetPercent = 10;

    bool operator==(const Service &) const = default;
};

/// A target as the document describes it.
struct Target
{
    QString name;
    TargetId id{};
    QString owner;
    ServiceId service{};
    QString dataCentre;
    /// Where the tunnel socket of the agent beside the target listens.
    Endpoint agent;
    /// Relative share of the flows, 1 to 10000.
    quint32 weight = 100;
    /// Requests that the target runs at the same time.
    quint32 slots = 1;
    /// Flows that the target holds at the same time.
    quint32 connections = 2000;
    bool isDraining = false;

    bool operator==(const Target &) const = default;
};

/// An accepted document: immutable, shared by the duties of a process.
class Configuration
{
public:
    /// Takes the parts of a checked document; references between them must hold.
    Configuration(const ConfigurationVersion &version, std::vector<DataCentre> dataCentres, std::vector<Service> services, std::vector<Target> targets);

    /// Number and digest of the document.
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

    /// The service, or null.
    const Service *findService(ServiceId id) const;

    /// The service at the address, or null.
    const Service *findService(const Endpoint &address) const;

    /// The target, or null.
    const Target *findTarget(TargetId id) const;

    /// The data centre, or null.
    const DataCentre *findDataCentre(const QString &name) const;

    /// The targets of the service, ordered by identifier.
    std::vector<const Target *> targetsOf(ServiceId id) const;

    /// Whether new flows may go to the target: it does not drain and its data centre is in.
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
