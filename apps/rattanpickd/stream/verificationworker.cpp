#include "rattanpickd/stream/verificationworker.h"

namespace Rattanpick
{

namespace
{

/// The longest wait before the worker checks again whether the process ends.
constexpr Duration waitLimit = 10s;
/// A source that does not answer within this time counts as unavailable.
constexpr Duration answerTimeout = 1s;

}

VerificationWorker::VerificationWorker(StreamContext &context)
    : m_context(context)
    , m_eraLog(context, QStringLiteral("verifications"))
{
}

void VerificationWorker::run()
{
    while (!m_context.isTerminating) {
        m_context.verificationWakeup.arm();
        if (!m_context.isVerificationRequested.exchange(false)) {
            if (!m_context.isTerminating) {
                m_context.verificationWakeup.wait(waitLimit);
            }
            continue;
        }
        const TimePoint sentAt = Clock::now();
        m_context.metrics.counter(QStringLiteral("directory.verifications")).add();
        // There is at most one verification at a time, so the ring always has room.
        const SourceAnswer answer = m_context.source.currentPosition(sentAt + answerTimeout);
        m_eraLog.record(answer);
        m_context.verifications.push({sentAt, answer.result == SourceResult::Read ? std::optional(answer.position) : std::nullopt});
        m_context.packetWakeup.notify();
    }
}

}
