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

/// Calls the admin interface of one process; each call blocks until it is answered or the time is over.
class AdminClient
{
public:
    /// Builds a client; connects at each call only.
    explicit AdminClient(const AdminClientSettings &settings);

    /// The state of the process; nothing with lastError() if it does not answer.
    std::optional<QJsonObject> status();

    /// The events with a Lamport clock above @p sinceLamport; nothing with lastError() if it does not answer.
    std::optional<AdminEvents> events(quint64 sinceLamport);

    /// The measurements; nothing with lastError() if it does not answer.
    std::optional<QJsonObject> metrics();

    /// The difference from a version, or the whole document for a null version; nothing with lastError() if there is none.
    std::optional<QByteArray> documentDelta(const ConfigurationVersion &from);

    /// Why the latest call gave nothing.
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
