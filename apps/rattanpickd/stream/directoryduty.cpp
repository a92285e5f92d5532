#include "rattanpickd/stream/directoryduty.h"

#include <QRandomGenerator>

namespace Rattanpick
{

namespace
{

/// The longest wait between two looks at whether the process ends.
constexpr Duration waitLimit = 1s;

}

DirectoryDuty::DirectoryDuty(StreamContext &context)
    : m_context(context)
    , m_watcher(DirectoryWatcherSettings{.seed = QRandomGenerator::system()->generate64()})
{
}

void DirectoryDuty::run()
{
    while (!m_context.isEnding) {
        if (m_context.isReadingWanted.exchange(false)) {
            m_watcher.requestReading();
        }
        const TimePoint now = Clock::now();
        const SourceCall next = m_watcher.next(now);
        if (next.kind == SourceCall::Kind::Wait) {
            m_context.directoryWakeup.arm();
            if (!m_context.isEnding) {
                m_context.directoryWakeup.wait(std::min(waitLimit, next.time - now));
            }
            continue;
        }
        const SourceAnswer answer = call(next);
        const TimePoint end = Clock::now();
        record(next, answer, end - now);
        take(end, answer);
    }
}

void DirectoryDuty::record(const SourceCall &call, const SourceAnswer &answer, Duration elapsed)
{
    const bool isReading = call.kind == SourceCall::Kind::ReadAll;
    if (answer.result == SourceResult::Failed || (answer.changes.empty() && answer.result == SourceResult::Read)) {
        return;
    }
    const QString what =
        answer.result == SourceResult::HistoryGone ? QStringLiteral("history is gone") : QStringLiteral("%1 changes").arg(answer.changes.size());
    m_context.log.record(EventNumber::DirectoryRead,
                         QStringLiteral("%1 after revision %2 up to revision %3: %4, %5 ms")
                             .arg(isReading ? QStringLiteral("reading") : QStringLiteral("watch"))
                             .arg(isReading ? 0 : call.afterRevision)
                             .arg(answer.revision)
                             .arg(what)
                             .arg(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()));
}

SourceAnswer DirectoryDuty::call(const SourceCall &call)
{
    m_context.metrics.counter(QStringLiteral("directory.calls")).add();
    if (call.kind == SourceCall::Kind::ReadAll) {
        return m_context.source.readAll(call.deadline);
    }
    return m_context.source.watch(call.afterRevision, call.waitDeadline, call.deadline);
}

void DirectoryDuty::take(TimePoint now, SourceAnswer answer)
{
    m_watcher.onAnswer(now, answer);
    const bool isAvailable = answer.result != SourceResult::Failed;
    if (m_isAvailable != isAvailable) {
        m_isAvailable = isAvailable;
        m_context.log.record(isAvailable ? EventNumber::PlatformReturned : EventNumber::PlatformUnavailable, answer.remark);
        answer.changes.insert(answer.changes.begin(), SourceSwitched{isAvailable, answer.remark});
    } else if (isAvailable && !answer.remark.isEmpty()) {
        m_context.log.record(EventNumber::DirectoryEntryRefused, answer.remark);
    }
    if (answer.changes.empty() && answer.result != SourceResult::Read) {
        return;
    }
    if (!m_context.changes.push(std::make_shared<const DirectoryBatch>(DirectoryBatch{answer.revision, std::move(answer.changes)}))) {
        // What was lost is read again; what did arrive stays valid, since revisions order the changes.
        m_context.log.record(EventNumber::RingFull, QStringLiteral("directory changes"));
        m_watcher.requestReading();
    }
    m_context.packetWakeup.notify();
}

}
