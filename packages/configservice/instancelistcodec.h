#pragma once

#include "configservice/instance.h"

#include <QByteArray>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// Reads and writes the instance list as JSON: an array of objects with the keys name, role ("balancer" or "agent"),
/// dataCentre, tunnel, admin, target (a number) and leaving (a boolean).
class InstanceListCodec
{
public:
    /// The JSON text of the list.
    static QByteArray toJson(const InstanceList &instances);

    /// The list of the text, ordered by name; nothing if an entry is malformed or a name occurs twice.
    std::optional<InstanceList> fromJson(const QByteArray &text);

    /// Why the latest fromJson() failed.
    const QString &lastError() const
    {
        return m_lastError;
    }

private:
    QString m_lastError;
};

}
