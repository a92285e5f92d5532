#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"

#include <QList>
#include <QString>

namespace Rattanpick
{

/// What a process of the system does.
enum class InstanceRole : quint8 {
    Balancer,
    Agent,
};

/// One entry of the platform's instance list, which lags.
struct Instance
{
    QString name;
    InstanceRole role = InstanceRole::Balancer;
    QString dataCentre;
    /// Where its tunnel socket listens.
    Endpoint tunnel;
    /// Where it serves documents and its status (JSON-RPC over HTTP).
    Endpoint admin;
    /// The target beside it; 0 for balancers.
    TargetId target{};
    bool isLeaving = false;

    bool operator==(const Instance &) const = default;
};

/// The instance list, ordered by name.
using InstanceList = QList<Instance>;

}
