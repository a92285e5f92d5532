#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"

#include <QList>
#include <QString>

namespace Rattanpick
{

/// The role of a process of the system.
enum class InstanceRole : quint8 {
    Balancer,
    Agent,
};

/// One entry of the platform's instance list, which may be out of date.
struct Instance
{
    QString name;
    InstanceRole role = InstanceRole::Balancer;
    QString dataCentre;
    /// Address of the tunnel socket.
    Endpoint tunnel;
    /// Address of the admin interface (JSON-RPC over HTTP), which serves documents and status.
    Endpoint admin;
    /// The target that the agent runs next to; 0 for balancers.
    TargetId target{};
    bool isLeaving = false;

    bool operator==(const Instance &) const = default;
};

/// The instance list, ordered by name.
using InstanceList = QList<Instance>;

}
