#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"

#include <QByteArray>
#include <QString>
#include <QStringList>

#include <vector>

namespace Rattanpick::Proof
{

/// A data centre of a deployment as operators configure it.
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

/// A target of a deployment as operators configure it.
struct DeployedTarget
{
    QString name;
    QString service;
    QString dataCentre;
    Endpoint agent;
    int weight = 100;
    bool isDraining = false;
    /// Whether the document lists the target.
    bool isListed = true;
};

/// The configuration of a deployment by its operators, and the document that describes it.
class Deployment
{
public:
    /// Régie at @p scale times its present size of 7 comptoir and 3 tri targets, each with 2 slots.
    static Deployment regie(int scale);

    /// Swan at @p scale times its present size of 7 yard-desk and 3 farrier-files targets, each with 5 slots.
    static Deployment swan(int scale);

    /// Appends a target that the document does not list yet.
    void addSpareTarget(const QString &service);

    /// The document for the present state, with the version number.
    QByteArray document(quint64 number) const;

    /// The service with the name, which must exist.
    const DeployedService &service(const QString &name) const;

    /// The name of the service at the address; empty if there is none.
    QString serviceAt(const Endpoint &address) const;

    /// Names of the data centres that are out.
    QStringList outDataCentres() const;

    /// Names of the listed targets that are draining.
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
