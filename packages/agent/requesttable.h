#pragma once

#include "agent/agentaction.h"
#include "agent/coldstartramp.h"
#include "agent/loadestimator.h"
#include "agent/requesttablesettings.h"
#include "agent/retrybudget.h"
#include "core/timepoint.h"

#include <memory>

namespace Rattanpick
{

/// Runs the requests of the flows that this agent owns: each non-idempotent one at most once.
///
/// Implements duplicate suppression, the bounded queue before the target, deadlines, cancellation, retained answers and
/// refusals. A refusal with NotRun records the number, so that the request never runs afterwards.
class RequestTable
{
public:
    /// Builds an empty table.
    explicit RequestTable(const RequestTableSettings &settings);
    ~RequestTable();

    RequestTable(const RequestTable &) = delete;
    RequestTable &operator=(const RequestTable &) = delete;

    // Flows

    /// Adds a flow that this agent owns; its requests must carry @p flowIncarnation.
    ///
    /// With @p isRecovered an earlier process of this agent may have run requests of the flow.
    void openFlow(const FlowKey &flow, quint64 nonce, Incarnation flowIncarnation, bool isRecovered);

    /// The flow has ended; its requests in progress are cancelled and its records removed.
    void closeFlow(TimePoint now, const FlowKey &flow, AgentActions &actions);

    // Requests

    /// Handles a request of an owned flow; a repeated one is never run again.
    void onRequest(TimePoint now, const FlowKey &flow, const Request &request, AgentActions &actions);

    /// Handles an idempotent request that another agent has handed over.
    ///
    /// Only the owner of a flow can guarantee that a request has not run, so refusals carry OutcomeUnknown.
    void onRetriedRequest(TimePoint now, const FlowKey &flow, const Request &request, AgentActions &actions);

    /// No other agent was available for a request of a RetryElsewhere action; the request ends as not run.
    void onRetryNotPlaced(TimePoint now, const FlowKey &flow, quint64 nonce, quint64 number, AgentActions &actions);

    /// Cancels a request for the caller; the cancellation may arrive before the request.
    void onCancel(TimePoint now, const FlowKey &flow, const Cancel &cancel, AgentActions &actions);

    /// Handles the caller's acknowledgement of answer parts: sends missing parts again, and drops a complete answer.
    void onAnswerAck(TimePoint now, const FlowKey &flow, const AnswerAck &ack, AgentActions &actions);

    // Target

    /// Handles a part of an answer from the target.
    void onTargetAnswerPart(TimePoint now, const TargetAnswerPart &part, AgentActions &actions);

    /// The target has shed the request: it has not run it and will not run it.
    void onTargetShed(TimePoint now, const TargetShed &shed, AgentActions &actions);

    /// The target has stopped the request.
    void onTargetCancelled(TimePoint now, const TargetCancelled &cancelled, AgentActions &actions);

    /// The target process has been replaced: delivered requests have an unknown outcome.
    ///
    /// Queued requests start no earlier than the next onTick(), so that flows which the new process does not have can
    /// be closed first; closeFlow() ends their queued requests as not run.
    void onTargetLost(TimePoint now, AgentActions &actions);

    // Limits

    /// Sets the capacity limits of the target from the configuration.
    void setLimits(quint32 slotCount, int coldSharePercent, int warmSeconds, int retryBudgetPercent);

    /// Refuses new requests as not run with this reason; None accepts them again.
    void refuseNewRequests(RefusalReason reason);

    /// Whether no request is queued or in progress at the target, and no answer waits for its acknowledgement.
    bool isIdle() const;

    /// The mean load in permille, queued requests included; may exceed 1000.
    quint16 loadPermille(TimePoint now) const;

    /// The ramp that limits the load of a cold target.
    const ColdStartRamp &ramp() const;

    /// The number of requests that are queued and not yet delivered.
    std::size_t queuedRequests() const;

    /// The number of target slots that delivered requests occupy.
    std::size_t deliveredRequests() const;

    // Time

    /// Delivers requests that may start, and ends those whose deadline has passed.
    void onTick(TimePoint now, AgentActions &actions);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
