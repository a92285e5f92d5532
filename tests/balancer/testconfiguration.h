#pragma once

#include <operators/configuration.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace Rattanpick
{

inline const ServiceId testService = serviceIdOf("comptoir");
inline const Endpoint testAddress{0x0a010001, 7000};

inline DataCentre dataCentre(const QString &name, bool isOut = false)
{
    return {name, QStringLiteral("net"), QStringLiteral("thies"), isOut};
}

/// A target of the test service; the agent's port follows the number.
inline Target target(int number, quint32 weight = 100, const QString &centre = QStringLiteral("escale"))
{
    Target result;
    result.name = QStringLiteral("t%1").arg(number);
    result.id = targetIdOf(result.name.toUtf8());
    result.service = testService;
    result.dataCentre = centre;
    result.agent = {0x7f000001, static_cast<quint16>(10000 + number)};
    result.weight = weight;
    return result;
}

inline std::vector<Target> targets(int count)
{
    std::vector<Target> result;
    for (int number = 0; number < count; ++number) {
        result.push_back(target(number));
    }
    return result;
}

inline ConfigurationPointer
configuration(quint64 version, std::vector<Target> targets, std::vector<DataCentre> centres = {dataCentre(QStringLiteral("escale"))})
{
    Service service;
    service.name = QStringLiteral("comptoir");
    service.id = testService;
    service.address = testAddress;
    return std::make_shared<const Configuration>(ConfigurationVersion{version, version}, std::move(centres), std::vector{service}, std::move(targets));
}

inline FlowKey flow(quint32 number)
{
    return {{0x0a000000 + number / 50000, static_cast<quint16>(1024 + number % 50000)}, testAddress, 17};
}

}
