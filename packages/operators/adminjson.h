#pragma once

#include "operators/adminhandlers.h"

#include <jsoncpp/json/value.h>

#include <QJsonObject>

#include <optional>

namespace Rattanpick
{

/// Converts a Qt JSON object to a JsonCpp value, as used by libjsonrpccpp.
Json::Value toJsonValue(const QJsonObject &object);

/// Serialises the result of the method `events` to an object with the keys events and overwritten.
QJsonObject toJson(const AdminEvents &events);

/// Parses the output of toJson(). Returns nothing if the object is malformed or contains an event with an unknown
/// number.
std::optional<AdminEvents> adminEventsFromJson(const QJsonObject &object);

}
