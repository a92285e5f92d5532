#pragma once

#include "configservice/instance.h"

#include <QByteArray>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// Parses and serialises the instance list as JSON: an array of objects with the keys name, role ("balancer" or
/// "agent"), dataCentre, tunnel, admin, target (a number) and leaving (a boolean).
class InstanceListCodec
{
public:
    /// Serialises the list to JSON.
    static QByteArray toJson(const InstanceList &instances);

    /// Parses a list and orders it by name. Returns nothing if an entry is malformed or a name occurs twice.
    std::optional<InstanceList> fromJson(const QByteArray &text);

    /// The error message of the last failed fromJson().
    const QString &lastError() const
    {
        return m_lastError;
    }

private:
    QString m_lastError;
};

}
