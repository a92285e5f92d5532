#include "operators/adminjson.h"

#include <jsoncpp/json/reader.h>

#include <QJsonArray>
#include <QJsonDocument>

#include <memory>
#include <string>

namespace Rattanpick
{

Json::Value toJsonValue(const QJsonObject &object)
{
    const std::string text = QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value(Json::objectValue);
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

QJsonObject toJson(const AdminEvents &events)
{
    QJsonArray array;
    for (const Event &event : events.events) {
        array.append(QJsonDocument::fromJson(event.toJson()).object());
    }
    return {{QStringLiteral("events"), array}, {QStringLiteral("overwritten"), static_cast<qint64>(events.overwritten)}};
}

std::optional<AdminEvents> adminEventsFromJson(const QJsonObject &object)
{
    const QJsonValue array = object.value(QLatin1String("events"));
    if (!array.isArray()) {
        return std::nullopt;
    }
    AdminEvents events;
    events.overwritten = static_cast<quint64>(object.value(QLatin1String("overwritten")).toInteger());
    for (const auto &value : array.toArray()) {
        const std::optional<Event> event = Event::fromJson(QJsonDocument(value.toObject()).toJson(QJsonDocument::Compact));
        if (!event.has_value()) {
            return std::nullopt;
        }
        events.events.append(*event);
    }
    return events;
}

}
