#pragma once

#include "operators/adminclientsettings.h"
#include "operators/adminhandlers.h"

#include <QByteArray>
#include <QJsonObject>
#include <QJsonValue>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// Client of the admin interface of one process. Calls block until the reply arrives or the timeout expires.
class AdminClient
{
public:
    /// Creates a client. Each call opens a connection of its own.
    explicit AdminClient(const AdminClientSettings &settings);

    /// The state of the process. Returns nothing and sets lastError() on failure.
    std::optional<QJsonObject> status();

    /// The events with a Lamport clock above @p sinceLamport. Returns nothing and sets lastError() on failure.
    std::optional<AdminEvents> events(quint64 sinceLamport);

    /// The metrics of the process. Returns nothing and sets lastError() on failure.
    std::optional<QJsonObject> metrics();

    /// The difference from version @p from to the current document, or the complete document if @p from is null.
    /// Returns nothing and sets lastError() on failure or if the process has no such difference.
    std::optional<QByteArray> documentDelta(const ConfigurationVersion &from);

    /// The error message of the last call, empty if it succeeded.
    QString lastError() const
    {
        return m_lastError;
    }

private:
    std::optional<QJsonValue> call(const QString &method, const QJsonObject &parameters);
    std::optional<QJsonObject> callForObject(const QString &method, const QJsonObject &parameters);

    AdminClientSettings m_settings;
    QString m_lastError;
};

}
