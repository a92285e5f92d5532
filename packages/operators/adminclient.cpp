#include "operators/adminclient.h"

#include "operators/adminjson.h"
#include "operators/jsonrpccall.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace Rattanpick
{

AdminClient::AdminClient(const AdminClientSettings &settings)
    : m_settings(settings)
{
}

std::optional<QJsonObject> AdminClient::status()
{
    return callForObject(QStringLiteral("status"), {});
}

std::optional<AdminEvents> AdminClient::events(quint64 sinceLamport)
{
    const std::optional<QJsonObject> object = callForObject(QStringLiteral("events"), {{QStringLiteral("sinceLamport"), QString::number(sinceLamport)}});
    if (!object.has_value()) {
        return std::nullopt;
    }
    std::optional<AdminEvents> events = adminEventsFromJson(*object);
    if (!events.has_value()) {
        m_lastError = QStringLiteral("the response is not a list of events");
    }
    return events;
}

std::optional<QJsonObject> AdminClient::metrics()
{
    return callForObject(QStringLiteral("metrics"), {});
}

std::optional<QByteArray> AdminClient::documentDelta(const ConfigurationVersion &from)
{
    const std::optional<QJsonValue> result = call(QStringLiteral("documentDelta"),
                                                  {
                                                      {QStringLiteral("fromNumber"), QString::number(from.number)},
                                                      {QStringLiteral("fromDigest"), QString::number(from.digest, 16)},
                                                  });
    if (!result.has_value()) {
        return std::nullopt;
    }
    const auto decoded = QByteArray::fromBase64Encoding(result->toString().toLatin1(), QByteArray::AbortOnBase64DecodingErrors);
    if (!result->isString() || !decoded) {
        m_lastError = QStringLiteral("the response is not base64 text");
        return std::nullopt;
    }
    return *decoded;
}

std::optional<QJsonValue> AdminClient::call(const QString &method, const QJsonObject &parameters)
{
    const std::string url = "http://" + m_settings.server.toString().toStdString() + "/";
    const std::string text = QJsonDocument(parameters).toJson(QJsonDocument::Compact).toStdString();
    const JsonRpcResult outcome = callJsonRpc(url, method.toStdString(), text, static_cast<long>(m_settings.timeout.count()));
    if (!outcome.error.empty()) {
        m_lastError = QString::fromStdString(outcome.error).trimmed();
        return std::nullopt;
    }
    // QJsonDocument accepts only an object or an array at the top level, but a result may be a single value.
    const QByteArray wrapped = '[' + QByteArray::fromStdString(outcome.result) + ']';
    m_lastError.clear();
    return QJsonDocument::fromJson(wrapped).array().at(0);
}

std::optional<QJsonObject> AdminClient::callForObject(const QString &method, const QJsonObject &parameters)
{
    const std::optional<QJsonValue> result = call(method, parameters);
    if (!result.has_value()) {
        return std::nullopt;
    }
    if (!result->isObject()) {
        m_lastError = QStringLiteral("the response is not an object");
        return std::nullopt;
    }
    return result->toObject();
}

}
