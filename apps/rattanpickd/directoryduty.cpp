#include "directoryduty.h"

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
        take(Clock::now(), call(next));
    }
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
    if (answer.changes.empty()) {
        return;
    }
    if (!m_context.changes.push(std::make_shared<const std::vector<DirectoryChange>>(std::move(answer.changes)))) {
        // What was lost is read again; what did arrive stays valid, since revisions order the changes.
        m_context.log.record(EventNumber::RingFull, QStringLiteral("directory changes"));
        m_watcher.requestReading();
    }
    m_context.packetWakeup.notify();
}

}
