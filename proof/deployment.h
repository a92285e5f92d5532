#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QByteArray>
#include <QString>
#include <QStringList>

#include <vector>

namespace Rattanpick::Proof
{

/// A data centre of a deployment as operators set it.
struct DeployedDataCentre
{
    QString name;
    bool isOut = false;
};

/// A service of a deployment.
struct DeployedService
{
    QString name;
    Endpoint address;
    int slotCount = 2;
    int coldSharePercent = 10;
    int warmSeconds = 30;
    /// Mean run time of a request at speed 1.
    Duration runTime = 40ms;
};

/// A target of a deployment as operators set it.
struct DeployedTarget
{
    QString name;
    QString service;
    QString dataCentre;
    Endpoint agent;
    int weight = 100;
    bool isDraining = false;
    /// Whether the document names the target.
    bool isListed = true;
};

/// What operators know of a deployment, and the document that says it.
class Deployment
{
public:
    /// Régie at its size today times @p scale: comptoir with 7 targets, tri with 3, 2 slots each.
    static Deployment regie(int scale);

    /// Swan at its size today times @p scale: yard-desk with 7 targets, farrier-files with 3, 5 slots each.
    static Deployment swan(int scale);

    /// Appends a target that the document does not name yet.
    void addSpareTarget(const QString &service);

    /// The document of the present state under the number.
    QByteArray document(quint64 number) const;

    /// The service of the name; must exist.
    const DeployedService &service(const QString &name) const;

    /// The name of the service at the address, empty if none.
    QString serviceAt(const Endpoint &address) const;

    /// Names of data centres that are out.
    QStringList outDataCentres() const;

    /// Names of listed targets that drain.
    QStringList drainingTargets() const;

    QString name;
    QString region;
    std::vector<DeployedDataCentre> dataCentres;
    std::vector<DeployedService> services;
    std::vector<DeployedTarget> targets;
    /// One-way latency between data centres.
    Duration dataCentreLatency = 1500us;
    /// One-way latency between callers and data centres.
    Duration callerLatency = 1ms;

private:
    void addTargets(const QString &service, int count, bool isListed);
};

}
