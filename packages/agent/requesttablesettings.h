#pragma once

#include "agent/coldstartrampsettings.h"
#include "core/timepoint.h"

#include <QtGlobal>

#include <cstddef>

namespace Rattanpick
{

/// How a repeated request is kept from running again.
enum class DuplicateStrategy : quint8 {
    /// Numbers and answers are recorded, and a repeated request is not run again.
    Suppress,
    /// Every copy of a request runs; the baseline for comparisons in tests.
    RunEveryCopy,
};

/// Parameters of a RequestTable.
struct RequestTableSettings
{
    DuplicateStrategy duplicates = DuplicateStrategy::Suppress;
    ColdStartRampSettings ramp;
    /// Maximum number of concurrent requests at the target, until setLimits() is called.
    quint32 slotCount = 1;
    /// Maximum number of queued requests for each slot.
    quint32 queuePerSlot = 2;
    /// Share of requests that may be handed over to another agent, until setLimits() is called.
    int retryBudgetPercent = 10;
    /// Number of consecutive non-idempotent requests after which a waiting idempotent one is taken.
    int fairnessLimit = 4;
    /// Ended records retained for each flow; checked whenever a request arrives.
    std::size_t keptRequestsPerFlow = 32;
    /// Bytes of retained answers over all flows; above this limit the oldest are dropped.
    std::size_t keptAnswerBytes = 64UL * 1024 * 1024;
    /// How long an answer is retained that the caller has not acknowledged.
    Duration answerRetention = 10s;
    /// Time until the first retransmission of unacknowledged parts; doubles up to 8 times this value.
    Duration answerRepeat = 100ms;
    /// How long the target has to confirm a cancellation before the outcome is reported as unknown.
    Duration cancelGrace = 100ms;
    /// Time between repeats of an unconfirmed cancellation.
    Duration cancelRepeat = 250ms;
    /// How long after a cancellation the slot stays occupied if the target does not confirm it.
    Duration slotRelease = 2s;
    /// Maximum number of flows of other owners with handed-over requests on record.
    std::size_t retriedFlows = 256;
    /// How long they are retained after the latest deadline of their requests.
    Duration retriedFlowRetention = 10s;
    /// How long after its first event a table runs no handed-over requests; the maximum lifetime of a datagram in the
    /// network.
    ///
    /// An earlier process of the agent may have run copies of them, and the caller would combine parts of two runs into
    /// one answer.
    Duration retrySettling = 10s;
    /// Number of retransmissions of a handed-over request's answer, whose acknowledgements go to the owner of the flow.
    quint32 retriedAnswerRepeats = 3;
    /// Time constant of the mean load.
    Duration loadTimeConstant = 2s;

    bool operator==(const RequestTableSettings &) const = default;
};

}
