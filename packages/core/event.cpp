#include "core/event.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>

namespace Rattanpick
{

namespace
{

struct NamedEvent
{
    EventNumber number;
    const char *name;
    EventLevel level;
};

struct NamedLevel
{
    EventLevel level;
    const char *name;
};

constexpr std::array levelNames{
    NamedLevel{EventLevel::Debug, "debug"},
    NamedLevel{EventLevel::Info, "info"},
    NamedLevel{EventLevel::Warning, "warning"},
    NamedLevel{EventLevel::Error, "error"},
};

constexpr std::array eventNames{
    NamedEvent{EventNumber::ProcessStarted, "ProcessStarted", EventLevel::Info},
    NamedEvent{EventNumber::ProcessStopping, "ProcessStopping", EventLevel::Info},
    NamedEvent{EventNumber::ProcessStopped, "ProcessStopped", EventLevel::Info},
    NamedEvent{EventNumber::PauseNoticed, "PauseNoticed", EventLevel::Warning},
    NamedEvent{EventNumber::SettingsRefused, "SettingsRefused", EventLevel::Error},
    NamedEvent{EventNumber::RingFull, "RingFull", EventLevel::Warning},
    NamedEvent{EventNumber::LinesSuppressed, "LinesSuppressed", EventLevel::Info},
    NamedEvent{EventNumber::SettingsReloaded, "SettingsReloaded", EventLevel::Info},
    NamedEvent{EventNumber::ConfigurationAccepted, "ConfigurationAccepted", EventLevel::Info},
    NamedEvent{EventNumber::ConfigurationRefused, "ConfigurationRefused", EventLevel::Error},
    NamedEvent{EventNumber::ConfigurationConflict, "ConfigurationConflict", EventLevel::Error},
    NamedEvent{EventNumber::PlatformUnavailable, "PlatformUnavailable", EventLevel::Warning},
    NamedEvent{EventNumber::PlatformReturned, "PlatformReturned", EventLevel::Info},
    NamedEvent{EventNumber::ReaderElected, "ReaderElected", EventLevel::Info},
    NamedEvent{EventNumber::ReaderDismissed, "ReaderDismissed", EventLevel::Info},
    NamedEvent{EventNumber::DirectoryEntryRefused, "DirectoryEntryRefused", EventLevel::Warning},
    NamedEvent{EventNumber::DirectoryRead, "DirectoryRead", EventLevel::Info},
    NamedEvent{EventNumber::WatchDeaf, "WatchDeaf", EventLevel::Warning},
    NamedEvent{EventNumber::DirectoryPulled, "DirectoryPulled", EventLevel::Info},
    NamedEvent{EventNumber::DirectoryOutdated, "DirectoryOutdated", EventLevel::Warning},
    NamedEvent{EventNumber::DirectoryCurrent, "DirectoryCurrent", EventLevel::Info},
    NamedEvent{EventNumber::RouteHistoryQueried, "RouteHistoryQueried", EventLevel::Info},
    NamedEvent{EventNumber::RouteHistoryReceived, "RouteHistoryReceived", EventLevel::Info},
    NamedEvent{EventNumber::DirectoryEraChanged, "DirectoryEraChanged", EventLevel::Warning},
    NamedEvent{EventNumber::DirectoryEraInvalid, "DirectoryEraInvalid", EventLevel::Warning},
    NamedEvent{EventNumber::FlowOpened, "FlowOpened", EventLevel::Debug},
    NamedEvent{EventNumber::FlowRefused, "FlowRefused", EventLevel::Warning},
    NamedEvent{EventNumber::FlowClosed, "FlowClosed", EventLevel::Debug},
    NamedEvent{EventNumber::FlowBroken, "FlowBroken", EventLevel::Error},
    NamedEvent{EventNumber::FlowRebound, "FlowRebound", EventLevel::Info},
    NamedEvent{EventNumber::FlowHandedOver, "FlowHandedOver", EventLevel::Info},
    NamedEvent{EventNumber::FlowSearchFailed, "FlowSearchFailed", EventLevel::Warning},
    NamedEvent{EventNumber::FlowOffered, "FlowOffered", EventLevel::Debug},
    NamedEvent{EventNumber::OfferUnanswered, "OfferUnanswered", EventLevel::Info},
    NamedEvent{EventNumber::FlowWaiting, "FlowWaiting", EventLevel::Debug},
    NamedEvent{EventNumber::FlowPassedOn, "FlowPassedOn", EventLevel::Info},
    NamedEvent{EventNumber::FlowLocated, "FlowLocated", EventLevel::Info},
    NamedEvent{EventNumber::FlowDenied, "FlowDenied", EventLevel::Debug},
    NamedEvent{EventNumber::RequestDelivered, "RequestDelivered", EventLevel::Debug},
    NamedEvent{EventNumber::RequestAnswered, "RequestAnswered", EventLevel::Debug},
    NamedEvent{EventNumber::RequestNotRun, "RequestNotRun", EventLevel::Warning},
    NamedEvent{EventNumber::RequestOutcomeUnknown, "RequestOutcomeUnknown", EventLevel::Error},
    NamedEvent{EventNumber::RequestRepeated, "RequestRepeated", EventLevel::Debug},
    NamedEvent{EventNumber::RequestCancelled, "RequestCancelled", EventLevel::Info},
    NamedEvent{EventNumber::PeerSuspected, "PeerSuspected", EventLevel::Warning},
    NamedEvent{EventNumber::PeerRefuted, "PeerRefuted", EventLevel::Info},
    NamedEvent{EventNumber::DataCentreOut, "DataCentreOut", EventLevel::Warning},
    NamedEvent{EventNumber::DataCentreIn, "DataCentreIn", EventLevel::Info},
    NamedEvent{EventNumber::TargetListed, "TargetListed", EventLevel::Info},
    NamedEvent{EventNumber::TargetUnlisted, "TargetUnlisted", EventLevel::Info},
    NamedEvent{EventNumber::TargetsRead, "TargetsRead", EventLevel::Info},
    NamedEvent{EventNumber::TargetCold, "TargetCold", EventLevel::Warning},
    NamedEvent{EventNumber::TargetWarm, "TargetWarm", EventLevel::Info},
    NamedEvent{EventNumber::TargetDraining, "TargetDraining", EventLevel::Info},
    NamedEvent{EventNumber::TargetLost, "TargetLost", EventLevel::Error},
    NamedEvent{EventNumber::TargetEjected, "TargetEjected", EventLevel::Warning},
    NamedEvent{EventNumber::TargetReadmitted, "TargetReadmitted", EventLevel::Info},
    NamedEvent{EventNumber::PacketDropped, "PacketDropped", EventLevel::Debug},
};

}

QByteArray Event::toJson() const
{
    const QJsonObject object{
        {QStringLiteral("number"), static_cast<int>(number)},
        {QStringLiteral("name"), eventName(number)},
        {QStringLiteral("process"), process},
        {QStringLiteral("lamport"), static_cast<qint64>(lamport)},
        {QStringLiteral("wall"), wallMilliseconds},
        {QStringLiteral("flow"), flow},
        {QStringLiteral("request"), static_cast<qint64>(request)},
        {QStringLiteral("detail"), detail},
    };
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

std::optional<Event> Event::fromJson(const QByteArray &line)
{
    const QJsonDocument document = QJsonDocument::fromJson(line);
    if (!document.isObject()) {
        return std::nullopt;
    }
    const QJsonObject object = document.object();
    Event event;
    event.number = static_cast<EventNumber>(object.value(QLatin1String("number")).toInt());
    if (eventName(event.number).isEmpty()) {
        return std::nullopt;
    }
    event.process = object.value(QLatin1String("process")).toString();
    event.lamport = static_cast<quint64>(object.value(QLatin1String("lamport")).toInteger());
    event.wallMilliseconds = object.value(QLatin1String("wall")).toInteger();
    event.flow = object.value(QLatin1String("flow")).toString();
    event.request = static_cast<quint64>(object.value(QLatin1String("request")).toInteger());
    event.detail = object.value(QLatin1String("detail")).toString();
    return event;
}

QString eventName(EventNumber number)
{
    const auto *found = std::ranges::find(eventNames, number, &NamedEvent::number);
    return found != eventNames.end() ? QString::fromLatin1(found->name) : QString();
}

std::optional<EventNumber> eventNumberOf(const QString &name)
{
    for (const NamedEvent &known : eventNames) {
        if (name == QLatin1String(known.name)) {
            return known.number;
        }
    }
    return std::nullopt;
}

EventLevel eventLevel(EventNumber number)
{
    const auto *found = std::ranges::find(eventNames, number, &NamedEvent::number);
    return found != eventNames.end() ? found->level : EventLevel::Error;
}

QString eventLevelName(EventLevel level)
{
    const auto *found = std::ranges::find(levelNames, level, &NamedLevel::level);
    return found != levelNames.end() ? QString::fromLatin1(found->name) : QString();
}

std::optional<EventLevel> eventLevelOf(const QString &name)
{
    for (const NamedLevel &known : levelNames) {
        if (name == QLatin1String(known.name)) {
            return known.level;
        }
    }
    return std::nullopt;
}

QList<EventNumber> allEventNumbers()
{
    QList<EventNumber> numbers;
    for (const NamedEvent &known : eventNames) {
        numbers.append(known.number);
    }
    return numbers;
}

}
