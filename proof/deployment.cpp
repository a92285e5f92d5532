#include "proof/deployment.h"

#include "core/assertion.h"

#include <QTextStream>

#include <algorithm>

namespace Rattanpick::Proof
{

namespace
{

constexpr quint32 agentNetwork = 0x0a010000; // 10.1.0.0
constexpr quint32 serviceNetwork = 0x0a630000; // 10.99.0.0
constexpr quint16 agentPort = 7001;
constexpr quint16 servicePort = 9000;

constexpr int mainTargets = 7;
constexpr int sideTargets = 3;

Endpoint serviceAddress(quint32 index)
{
    return Endpoint{serviceNetwork + index, servicePort};
}

}

Deployment Deployment::regie(int scale)
{
    Deployment deployment;
    deployment.name = QStringLiteral("regie");
    deployment.region = QStringLiteral("thies");
    deployment.dataCentres = {{QStringLiteral("escale")}, {QStringLiteral("randoulene")}, {QStringLiteral("nguinth")}};
    deployment.services = {{.name = QStringLiteral("comptoir"), .address = serviceAddress(1)}, {.name = QStringLiteral("tri"), .address = serviceAddress(2)}};
    deployment.dataCentreLatency = 1500us;
    deployment.callerLatency = 1ms;
    deployment.addTargets(QStringLiteral("comptoir"), mainTargets * scale, true);
    deployment.addTargets(QStringLiteral("tri"), sideTargets * scale, true);
    return deployment;
}

Deployment Deployment::swan(int scale)
{
    Deployment deployment;
    deployment.name = QStringLiteral("swan");
    deployment.region = QStringLiteral("wa-south");
    deployment.dataCentres = {{QStringLiteral("fremantle")}, {QStringLiteral("guildford")}, {QStringLiteral("mandurah")}};
    deployment.services = {{.name = QStringLiteral("yard-desk"), .address = serviceAddress(1), .slotCount = 5},
                           {.name = QStringLiteral("farrier-files"), .address = serviceAddress(2), .slotCount = 5}};
    deployment.dataCentreLatency = 1ms;
    deployment.callerLatency = 3ms;
    deployment.addTargets(QStringLiteral("yard-desk"), mainTargets * scale, true);
    deployment.addTargets(QStringLiteral("farrier-files"), sideTargets * scale, true);
    return deployment;
}

void Deployment::addSpareTarget(const QString &service)
{
    addTargets(service, 1, false);
}

void Deployment::addTargets(const QString &service, int count, bool isListed)
{
    for (int added = 0; added < count; ++added) {
        const auto number = static_cast<quint32>(targets.size() + 1);
        const QString &dataCentre = dataCentres[number % dataCentres.size()].name;
        targets.push_back({.name = QStringLiteral("%1-%2").arg(service).arg(number),
                           .service = service,
                           .dataCentre = dataCentre,
                           .agent = Endpoint{agentNetwork + number, agentPort},
                           .isListed = isListed});
    }
}

QByteArray Deployment::document(quint64 number) const
{
    QByteArray text;
    QTextStream stream(&text);
    stream << "[document]\nversion = " << number << "\n\n[team net]\n\n";
    for (const DeployedDataCentre &dataCentre : dataCentres) {
        stream << "[data-centre " << dataCentre.name << "]\nowner = net\nregion = " << region << "\nstate = " << (dataCentre.isOut ? "out" : "in") << "\n\n";
    }
    for (const DeployedService &service : services) {
        stream << "[service " << service.name << "]\nowner = net\naddress = " << service.address.toString() << "\ncold-share = " << service.coldSharePercent
               << "\nwarm-seconds = " << service.warmSeconds << "\n\n";
    }
    for (const DeployedTarget &target : targets) {
        if (!target.isListed) {
            continue;
        }
        stream << "[target " << target.name << "]\nowner = net\nservice = " << target.service << "\ndata-centre = " << target.dataCentre
               << "\nagent = " << target.agent.toString() << "\nweight = " << target.weight << "\nslots = " << service(target.service).slotCount
               << "\nconnections = 2000\nstate = " << (target.isDraining ? "draining" : "in") << "\n\n";
    }
    stream.flush();
    return text;
}

const DeployedService &Deployment::service(const QString &serviceName) const
{
    const auto found = std::ranges::find(services, serviceName, &DeployedService::name);
    RP_ASSERT(found != services.end());
    return *found;
}

QString Deployment::serviceAt(const Endpoint &address) const
{
    const auto found = std::ranges::find(services, address, &DeployedService::address);
    return found != services.end() ? found->name : QString();
}

QStringList Deployment::outDataCentres() const
{
    QStringList names;
    for (const DeployedDataCentre &dataCentre : dataCentres) {
        if (dataCentre.isOut) {
            names.append(dataCentre.name);
        }
    }
    return names;
}

QStringList Deployment::drainingTargets() const
{
    QStringList names;
    for (const DeployedTarget &target : targets) {
        if (target.isListed && target.isDraining) {
            names.append(target.name);
        }
    }
    return names;
}

}
