#pragma once

#include "core/flowkey.h"
#include "core/identifiers.h"

#include <QByteArray>

#include <variant>

namespace Rattanpick
{

/// Opens a flow at the target.
struct TargetOpen
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const TargetOpen &) const = default;
};

/// Flow data, in either direction between agent and target.
struct TargetData
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 sequence = 0;
    QByteArray payload;

    bool operator==(const TargetData &) const = default;
};

/// Acknowledges flow data, in either direction.
struct TargetDataAck
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 sequence = 0;

    bool operator==(const TargetDataAck &) const = default;
};

/// Ends a flow at the target.
struct TargetClose
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const TargetClose &) const = default;
};

/// Asks the target whether it has the flow.
struct TargetProbe
{
    FlowKey flow;
    quint64 nonce = 0;

    bool operator==(const TargetProbe &) const = default;
};

/// Starts a request at the target.
struct TargetRequest
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 number = 0;
    /// Time until the deadline when the agent delivers the request, in milliseconds.
    quint32 remainingMilliseconds = 0;
    QByteArray body;

    bool operator==(const TargetRequest &) const = default;
};

/// Asks the target to stop a request.
struct TargetCancel
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 number = 0;

    bool operator==(const TargetCancel &) const = default;
};

/// A message from the agent to its target.
using TargetCommand = std::variant<TargetOpen, TargetData, TargetDataAck, TargetClose, TargetProbe, TargetRequest, TargetCancel>;

/// Sent by the target when it starts and periodically; the reported load may be outdated or wrong.
struct TargetStatus
{
    bool isDraining = false;
    quint16 reportedLoadPermille = 0;

    bool operator==(const TargetStatus &) const = default;
};

/// Reports whether the target has the flow; answers TargetOpen and TargetProbe.
struct TargetFlowState
{
    FlowKey flow;
    quint64 nonce = 0;
    bool isKnown = false;

    bool operator==(const TargetFlowState &) const = default;
};

/// One part of an answer; parts may arrive in any order and more than once.
struct TargetAnswerPart
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 number = 0;
    quint16 part = 0;
    quint16 parts = 0;
    QByteArray body;

    bool operator==(const TargetAnswerPart &) const = default;
};

/// The target sheds the request: it has not run it and will not run it.
struct TargetShed
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 number = 0;

    bool operator==(const TargetShed &) const = default;
};

/// The target has stopped a request.
struct TargetCancelled
{
    FlowKey flow;
    quint64 nonce = 0;
    quint64 number = 0;
    /// Whether the request had begun to run.
    bool hasRun = false;

    bool operator==(const TargetCancelled &) const = default;
};

/// The body of a message from a target to its agent.
using TargetReplyBody = std::variant<TargetStatus, TargetFlowState, TargetData, TargetDataAck, TargetAnswerPart, TargetShed, TargetCancelled>;

/// A message from the target to its agent.
struct TargetReply
{
    /// Chosen at random when the target process starts.
    Incarnation targetIncarnation{};
    TargetReplyBody body;

    bool operator==(const TargetReply &) const = default;
};

}
