#pragma once

#include "operators/adminhandlers.h"

#include <jsoncpp/json/value.h>

#include <QJsonObject>

#include <optional>

namespace Rattanpick
{

/// The value of libjsonrpccpp for an object of Qt.
Json::Value toJsonValue(const QJsonObject &object);

/// The object with the keys events and overwritten, as the method events gives it.
QJsonObject toJson(const AdminEvents &events);

/// Reads what toJson() gives; nothing if the object has another form or holds an event with an unknown number.
std::optional<AdminEvents> adminEventsFromJson(const QJsonObject &object);

}
