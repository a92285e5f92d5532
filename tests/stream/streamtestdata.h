#pragma once

#include "plainformat.h"

#include <stream/streamagent.h>
#include <stream/streambalancer.h>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// Values shared by the tests of single decision objects.
namespace StreamTestData
{

inline const TimePoint start = TimePoint{} + 1h;
inline const Endpoint route{0xc6120001, 443};
inline const Endpoint caller{0x64400007, 40001};
inline const FlowKey flow{caller, route};
inline const ServiceId service = serviceIdOf("counter");
inline const ServiceId otherService = serviceIdOf("records");
inline constexpr quint16 agentPort = 7720;

/// Endpoint at which target number @p index receives segments.
inline Endpoint targetAddress(int index)
{
    return {0x0a010000U + static_cast<quint32>(index), 8080};
}

/// Endpoint at which the agent of target number @p index receives messages.
inline Endpoint agentAddress(int index)
{
    return {targetAddress(index).address, agentPort};
}

/// Target number @p index in the given run of its process.
inline StreamTarget target(int index, int incarnationNumber = 1, bool isDraining = false)
{
    StreamTarget target;
    target.name = QStringLiteral("t%1-%2").arg(index).arg(incarnationNumber);
    target.id = targetIdOf(target.name.toUtf8());
    target.incarnation = Incarnation{static_cast<quint64>(index * 100 + incarnationNumber)};
    target.service = service;
    target.address = targetAddress(index);
    target.dataCentre = QStringLiteral("dc%1").arg(index % 3);
    target.slotCount = 2;
    target.startTime = std::chrono::sys_time<std::chrono::milliseconds>(1h);
    target.isDraining = isDraining;
    return target;
}

/// A route table of the version with one route to the service.
inline RouteTablePointer routes(quint64 version = 1, std::vector<Endpoint> addresses = {route}, double coldPerSecond = 0, Duration idleTimeout = 15s)
{
    std::vector<Route> list;
    for (const Endpoint &address : addresses) {
        list.push_back({address, {{service, 1}}});
    }
    return std::make_shared<const RouteTable>(version, list, std::vector<StreamService>{{QStringLiteral("counter"), service, coldPerSecond, 2s}}, idleTimeout);
}

/// A route table of the version whose route uses the services; without services, it has no route.
inline RouteTablePointer routesTo(quint64 version, std::vector<ServiceShare> shares)
{
    const std::vector<Route> list = shares.empty() ? std::vector<Route>{} : std::vector<Route>{{route, std::move(shares)}};
    return std::make_shared<const RouteTable>(version, list, std::vector<StreamService>{{QStringLiteral("counter"), service, 0, 2s}}, 15s);
}

/// The changes of a full read in which the targets are listed at positions 1, 2 and so on.
inline std::vector<DirectoryChange> reading(const std::vector<StreamTarget> &targets, quint64 revision = 100)
{
    std::vector<DirectoryChange> changes{SourceSwitched{true, {}}, RoutesPublished{1, routes()}};
    FullReadCompleted completed;
    completed.position = revision;
    completed.isFromSource = true;
    quint64 number = 0;
    for (const StreamTarget &item : targets) {
        changes.emplace_back(TargetListed{++number, item});
        completed.targets.insert(item.name);
    }
    changes.emplace_back(completed);
    return changes;
}

/// A segment of the caller of the flow.
inline Segment callerSegment(quint8 flags, quint32 sequence = 1, quint32 acknowledgement = 0, quint16 length = 0, const FlowKey &key = flow)
{
    return {key.caller, key.service, flags, sequence, acknowledgement, length, 0};
}

/// A segment of the target of the flow.
inline Segment targetSegment(quint8 flags, quint32 sequence = 1000, quint16 length = 0, const FlowKey &key = flow)
{
    return {key.service, key.caller, flags, sequence, 0, length, 0};
}

/// The messages of the kind among the actions.
inline std::vector<SendStreamMessage> messages(const StreamActions &actions, StreamMessageKind kind)
{
    std::vector<SendStreamMessage> found;
    for (const StreamAction &action : actions) {
        const auto *message = std::get_if<SendStreamMessage>(&action);
        if (message != nullptr && message->message.kind == kind) {
            found.push_back(*message);
        }
    }
    return found;
}

/// The segments that are sent by actions of the type, such as SendToStreamTarget.
template <typename Action>
std::vector<Segment> segments(const StreamActions &actions)
{
    std::vector<Segment> found;
    for (const StreamAction &action : actions) {
        if (const auto *sent = std::get_if<Action>(&action)) {
            found.push_back(*PlainFormat().decode(sent->packet));
        }
    }
    return found;
}

/// Whether the actions reset the flow at its caller.
inline bool resetsCaller(const StreamActions &actions)
{
    const std::vector<Segment> sent = segments<SendToStreamCaller>(actions);
    return std::ranges::any_of(sent, [](const Segment &segment) { return segment.has(RstFlag); });
}

}

}
