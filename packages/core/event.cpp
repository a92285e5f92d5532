#include "core/event.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <array>
#include <utility>

namespace Rattanpick
{

namespace
{

using NamedEvent = std::pair<EventNumber, const char *>;

constexpr std::array eventNames{
    NamedEvent{EventNumber::ProcessStarted, "ProcessStarted"},
    NamedEvent{EventNumber::ProcessStopping, "ProcessStopping"},
    NamedEvent{EventNumber::ProcessStopped, "ProcessStopped"},
    NamedEvent{EventNumber::PauseNoticed, "PauseNoticed"},
    NamedEvent{EventNumber::SettingsRefused, "SettingsRefused"},
    NamedEvent{EventNumber::RingFull, "RingFull"},
    NamedEvent{EventNumber::ConfigurationAccepted, "ConfigurationAccepted"},
    NamedEvent{EventNumber::ConfigurationRefused, "ConfigurationRefused"},
    NamedEvent{EventNumber::ConfigurationConflict, "ConfigurationConflict"},
    NamedEvent{EventNumber::PlatformUnavailable, "PlatformUnavailable"},
    NamedEvent{EventNumber::PlatformReturned, "PlatformReturned"},
    NamedEvent{EventNumber::ReaderElected, "ReaderElected"},
    NamedEvent{EventNumber::ReaderDismissed, "ReaderDismissed"},
    NamedEvent{EventNumber::FlowOpened, "FlowOpened"},
    NamedEvent{EventNumber::FlowRefused, "FlowRefused"},
    NamedEvent{EventNumber::FlowClosed, "FlowClosed"},
    NamedEvent{EventNumber::FlowBroken, "FlowBroken"},
    NamedEvent{EventNumber::FlowRebound, "FlowRebound"},
    NamedEvent{EventNumber::FlowHandedOver, "FlowHandedOver"},
    NamedEvent{EventNumber::RequestDelivered, "RequestDelivered"},
    NamedEvent{EventNumber::RequestAnswered, "RequestAnswered"},
    NamedEvent{EventNumber::RequestNotRun, "RequestNotRun"},
    NamedEvent{EventNumber::RequestOutcomeUnknown, "RequestOutcomeUnknown"},
    NamedEvent{EventNumber::RequestRepeated, "RequestRepeated"},
    NamedEvent{EventNumber::RequestCancelled, "RequestCancelled"},
    NamedEvent{EventNumber::PeerSuspected, "PeerSuspected"},
    NamedEvent{EventNumber::PeerRefuted, "PeerRefuted"},
    NamedEvent{EventNumber::DataCentreOut, "DataCentreOut"},
    NamedEvent{EventNumber::DataCentreIn, "DataCentreIn"},
    NamedEvent{EventNumber::TargetCold, "TargetCold"},
    NamedEvent{EventNumber::TargetWarm, "TargetWarm"},
    NamedEvent{EventNumber::TargetDraining, "TargetDraining"},
    NamedEvent{EventNumber::TargetLost, "TargetLost"},
    NamedEvent{EventNumber::PacketDropped, "PacketDropped"},
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
    for (const auto &[known, name] : eventNames) {
        if (known == number) {
            return QString::fromLatin1(name);
        }
    }
    return {};
}

}
