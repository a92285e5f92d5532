#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"
#include "stream/flowposition.h"

#include <QtGlobal>

#include <optional>

namespace Rattanpick
{

/// State of a flow at the target of an agent.
struct HeldFlow
{
    enum class State : quint8 {
        /// The opening was sent to the target.
        Offered,
        /// The target has answered the opening.
        Answered,
        /// A segment was sent to the target, which has not confirmed yet that it holds the flow.
        Unconfirmed,
        /// The target holds the flow.
        Open,
    };

    State state = State::Offered;
    /// When the target has answered the opening; TimePoint{} if that was before this process has started.
    TimePoint heldSince{};
    /// The balancer that sent the latest segment of the caller.
    Endpoint balancer;
    /// The agent that runs the lookup of the flow and is notified once the target has confirmed the flow; null if none.
    Endpoint lookupAgent;
    quint32 openingSequence = 0;
    /// The sequence number of the target's answer to the opening.
    quint32 targetSequence = 0;
    bool hasTargetSequence = false;
    /// End of the data that the target has sent; valid if hasTargetSequence is set.
    quint32 targetEnd = 0;
    /// Shown by the latest segment that has passed in either direction.
    FlowPosition position;
    /// The latest acknowledgement number of the caller; the caller accepts a reset near it.
    quint32 callerAcknowledgement = 0;
    /// End of the data that the caller has sent.
    quint32 callerEnd = 0;
    /// When the request in progress began.
    std::optional<TimePoint> requestStart;
    /// Whether the flow was opened and its first request has not arrived yet.
    bool isRequestAwaited = false;
    /// Tag of the latest segment of the flow that the target returns if it does not hold the flow; 0 if none was sent.
    quint32 deliveryTag = 0;
    /// Unconfirmed: when a target that has ended counts as not holding the flow.
    TimePoint denialDeadline{};
    bool hasCallerFinished = false;
    bool hasTargetFinished = false;
    /// When the latest segment of the flow passed.
    TimePoint latestActivity{};
    /// Whether the flow is in the queue of checks.
    bool isQueued = false;
};

}
