#pragma once

#include "agent/coldstartrampsettings.h"
#include "core/timepoint.h"

#include <QtGlobal>

#include <cstddef>

namespace Rattanpick
{

/// How a repeated request is kept from running again.
enum class DuplicateStrategy : quint8 {
    /// Numbers and answers are remembered.
    Suppress,
    /// Every copy of a request runs: the baseline that tests compare with.
    RunEveryCopy,
};

/// What a RequestTable is built from.
struct RequestTableSettings
{
    DuplicateStrategy duplicates = DuplicateStrategy::Suppress;
    ColdStartRampSettings ramp;
    /// Requests that the target works on at once, until setLimits() is called.
    quint32 slotCount = 1;
    /// Queued requests for each slot.
    quint32 queuePerSlot = 2;
    /// Share of requests that may be handed to another agent, until setLimits() is called.
    int retryBudgetPercent = 10;
    /// After so many non-idempotent requests in a row, an idempotent one that waits goes first.
    int fairnessLimit = 4;
    /// Numbers remembered for each flow besides those in progress; checked whenever a request arrives.
    std::size_t keptRequestsPerFlow = 32;
    /// Bytes of kept answers over all flows; beyond them the oldest are dropped.
    std::size_t keptAnswerBytes = 64UL * 1024 * 1024;
    /// How long an answer is kept that the caller has not acknowledged.
    Duration answerRetention = 10s;
    /// Time until unacknowledged parts are first sent again; doubles up to 8 times this.
    Duration answerRepeat = 100ms;
    /// How long the target has to confirm a cancellation before the outcome is called unknown.
    Duration cancelGrace = 100ms;
    /// Time between repeats of an unconfirmed cancellation.
    Duration cancelRepeat = 250ms;
    /// How long after a cancellation the slot stays taken if the target confirms nothing.
    Duration slotRelease = 2s;
    /// Flows of other owners with handed-over requests that are remembered.
    std::size_t retriedFlows = 256;
    /// How long they are remembered after the latest deadline of their requests.
    Duration retriedFlowRetention = 10s;
    /// How long after its first event a table runs no handed-over requests; the longest time that a datagram may be on its way.
    ///
    /// An earlier process of the agent may have run copies of them, and the caller would take parts of two runs for one answer.
    Duration retrySettling = 10s;
    /// How often the unacknowledged parts of a handed-over request are sent again; acknowledgements go to the owner.
    quint32 retriedAnswerRepeats = 3;
    /// Time constant of the mean load.
    Duration loadTimeConstant = 2s;

    bool operator==(const RequestTableSettings &) const = default;
};

}
