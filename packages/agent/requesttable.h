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
/// Owns duplicate suppression, the bounded queue before the target, deadlines, cancellation, the kept
/// answers and the refusals. Every refusal that says NotRun marks the number so that it never runs.
class RequestTable
{
public:
    /// Builds an empty table.
    explicit RequestTable(const RequestTableSettings &settings);
    ~RequestTable();

    RequestTable(const RequestTable &) = delete;
    RequestTable &operator=(const RequestTable &) = delete;

    // Flows

    /// The flow is owned from now on; requests must carry @p flowIncarnation.
    ///
    /// @p isRecovered tells that an earlier process of this agent may have run requests of the flow.
    void openFlow(const FlowKey &flow, quint64 nonce, Incarnation flowIncarnation, bool isRecovered);

    /// The flow has ended; its requests in progress are cancelled and its numbers forgotten.
    void closeFlow(TimePoint now, const FlowKey &flow, AgentActions &actions);

    // Requests

    /// A request of an owned flow; a repeated one is never run again.
    void onRequest(TimePoint now, const FlowKey &flow, const Request &request, AgentActions &actions);

    /// An idempotent request that another agent has handed over.
    ///
    /// Only the owner of a flow can promise that a request has not run, so refusals here say OutcomeUnknown.
    void onRetriedRequest(TimePoint now, const FlowKey &flow, const Request &request, AgentActions &actions);

    /// No other agent could be asked to run a request that RetryElsewhere has named; it ends as not run.
    void onRetryNotPlaced(TimePoint now, const FlowKey &flow, quint64 nonce, quint64 number, AgentActions &actions);

    /// The caller no longer wants the answer; may arrive before the request.
    void onCancel(TimePoint now, const FlowKey &flow, const Cancel &cancel, AgentActions &actions);

    /// The caller tells which parts it has; the missing ones are sent again, a complete answer is dropped.
    void onAnswerAck(TimePoint now, const FlowKey &flow, const AnswerAck &ack, AgentActions &actions);

    // Target

    /// A part of an answer from the target.
    void onTargetAnswerPart(TimePoint now, const TargetAnswerPart &part, AgentActions &actions);

    /// The target has not run the request and never will.
    void onTargetShed(TimePoint now, const TargetShed &shed, AgentActions &actions);

    /// The target has stopped the request.
    void onTargetCancelled(TimePoint now, const TargetCancelled &cancelled, AgentActions &actions);

    /// The target process has been replaced: delivered requests have an unknown outcome.
    ///
    /// Queued ones start no earlier than the next onTick(), so that flows which the new process does not
    /// know can be closed before; closeFlow() ends their queued requests as not run.
    void onTargetLost(TimePoint now, AgentActions &actions);

    // Limits

    /// Sets what the target can bear, from the configuration.
    void setLimits(quint32 slotCount, int coldSharePercent, int warmSeconds, int retryBudgetPercent);

    /// New requests are refused as not run with this reason; None accepts them again.
    void refuseNewRequests(RefusalReason reason);

    /// Whether no request is queued or in progress at the target, and no answer waits for its acknowledgement.
    bool isIdle() const;

    /// Busy share of the target in permille, queue included; may exceed 1000.
    quint16 loadPermille(TimePoint now) const;

    /// The share of full load that the target bears now.
    const ColdStartRamp &ramp() const;

    /// Requests queued and not yet delivered.
    std::size_t queuedRequests() const;

    /// Requests delivered to the target and not yet ended.
    std::size_t deliveredRequests() const;

    // Time

    /// Delivers what may start, ends what is late.
    void onTick(TimePoint now, AgentActions &actions);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
