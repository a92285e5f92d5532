#include "configservice/instancelistcodec.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace Rattanpick
{

namespace
{

const QLatin1String balancerRole("balancer");
const QLatin1String agentRole("agent");

std::optional<Instance> instanceFromJson(const QJsonObject &object)
{
    const QString role = object.value(QLatin1String("role")).toString();
    const std::optional<Endpoint> tunnel = Endpoint::fromString(object.value(QLatin1String("tunnel")).toString());
    const std::optional<Endpoint> admin = Endpoint::fromString(object.value(QLatin1String("admin")).toString());
    Instance instance;
    instance.name = object.value(QLatin1String("name")).toString();
    instance.dataCentre = object.value(QLatin1String("dataCentre")).toString();
    const bool isRole = role == balancerRole || role == agentRole;
    if (!isRole || !tunnel || !admin || instance.name.isEmpty() || instance.dataCentre.isEmpty()) {
        return std::nullopt;
    }
    instance.role = role == agentRole ? InstanceRole::Agent : InstanceRole::Balancer;
    instance.tunnel = *tunnel;
    instance.admin = *admin;
    instance.target = static_cast<TargetId>(object.value(QLatin1String("target")).toInteger());
    instance.isLeaving = object.value(QLatin1String("leaving")).toBool();
    return instance;
}

}

QByteArray InstanceListCodec::toJson(const InstanceList &instances)
{
    QJsonArray entries;
    for (const Instance &instance : instances) {
        entries.append(QJsonObject{
            {QStringLiteral("name"), instance.name},
            {QStringLiteral("role"), QString(instance.role == InstanceRole::Agent ? agentRole : balancerRole)},
            {QStringLiteral("dataCentre"), instance.dataCentre},
            {QStringLiteral("tunnel"), instance.tunnel.toString()},
            {QStringLiteral("admin"), instance.admin.toString()},
            {QStringLiteral("target"), static_cast<qint64>(instance.target)},
            {QStringLiteral("leaving"), instance.isLeaving},
        });
    }
    return QJsonDocument(entries).toJson(QJsonDocument::Compact);
}

std::optional<InstanceList> InstanceListCodec::fromJson(const QByteArray &text)
{
    const QJsonDocument document = QJsonDocument::fromJson(text);
    if (!document.isArray()) {
        m_lastError = QStringLiteral("the instance list is not a JSON array");
        return std::nullopt;
    }
    InstanceList instances;
    const QJsonArray entries = document.array();
    for (const auto &entry : entries) {
        const std::optional<Instance> instance = instanceFromJson(entry.toObject());
        if (!instance) {
            m_lastError = QStringLiteral("entry %1 of the instance list is malformed").arg(instances.size());
            return std::nullopt;
        }
        instances.append(*instance);
    }
    std::ranges::sort(instances, {}, &Instance::name);
    const auto duplicate = std::ranges::adjacent_find(instances, {}, &Instance::name);
    if (duplicate != instances.end()) {
        m_lastError = QStringLiteral("instance %1 occurs twice").arg(duplicate->name);
        return std::nullopt;
    }
    return instances;
}

}
