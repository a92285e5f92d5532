#include "rattanpickd/stream/directoryworker.h"

#include <QRandomGenerator>

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// The longest wait before the worker checks again whether the process ends.
constexpr Duration waitLimit = 10s;
constexpr int okStatus = 200;
constexpr char afterParameter[] = "after=";
/// Asks for routes with objectives. Precedes afterParameter, whose number earlier versions read up to the end of the query.
constexpr char objectivesParameter[] = "objectives=1";
/// The era of the position; also asks for positions with eras.
constexpr char eraParameter[] = "era=";

quint64 numberBehind(const QByteArray &query, const char *parameter)
{
    const qsizetype begin = query.indexOf(parameter);
    const QByteArray rest = begin < 0 ? QByteArray() : query.mid(begin + qstrlen(parameter));
    return rest.left(rest.indexOf('&')).toULongLong();
}

DirectoryFormat formatOf(const QByteArray &query)
{
    if (query.contains(eraParameter)) {
        return DirectoryFormat::WithEras;
    }
    return query.contains(objectivesParameter) ? DirectoryFormat::WithObjectives : DirectoryFormat::WithoutObjectives;
}

qint64 milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

DirectoryWorker::DirectoryWorker(StreamContext &context)
    : m_context(context)
    , m_watcher(DirectoryWatcherSettings{.seed = QRandomGenerator::system()->generate64()})
    , m_peers(HttpClientSettings{.connectTimeout = 300ms})
    , m_eraLog(context, QStringLiteral("reads and watches"))
{
    m_watcher.setSeeds(context.settings.seeds);
}

void DirectoryWorker::run()
{
    while (!m_context.isTerminating) {
        m_context.directoryWakeup.arm();
        if (m_context.isFullReadRequested.exchange(false)) {
            m_watcher.requestFullRead();
        }
        while (const std::optional<Endpoint> updateSource = m_context.updateSources.pop()) {
            m_watcher.requestPull(*updateSource);
        }
        while (const auto seeds = m_context.seeds.pop()) {
            m_watcher.setSeeds(**seeds);
        }
        m_watcher.setReader(m_context.isReader);
        const TimePoint now = Clock::now();
        const SourceCall call = m_watcher.next(now);
        if (call.kind == SourceCall::Kind::Wait) {
            if (!m_context.isTerminating) {
                m_context.directoryWakeup.wait(std::min(waitLimit, call.time - now));
            }
            continue;
        }
        if (call.kind == SourceCall::Kind::Pull) {
            pull(call);
            continue;
        }
        SourceAnswer answer = callSource(call);
        const TimePoint end = Clock::now();
        m_eraLog.record(answer);
        if (const SourceResult result = m_watcher.resultOf(call, answer); result != answer.result) {
            answer.result = result;
            answer.changes.clear();
        }
        record(call, answer, end - now);
        processAnswer(end, call, std::move(answer));
    }
}

QByteArray DirectoryWorker::answerPeer(const QByteArray &query) const
{
    // Without an era, a position of an earlier release is older than all of a source with eras, and everything is served.
    const DirectoryPosition after{numberBehind(query, eraParameter), numberBehind(query, afterParameter)};
    const std::scoped_lock lock(m_imageMutex);
    return m_image.position().isNull() ? QByteArray() : encodeDirectoryBatch(Clock::now(), m_image.since(after), formatOf(query));
}

SourceAnswer DirectoryWorker::callSource(const SourceCall &call)
{
    m_context.metrics.counter(QStringLiteral("directory.calls")).add();
    if (call.kind == SourceCall::Kind::ReadAll) {
        return m_context.source.readAll(call.deadline);
    }
    return m_context.source.watch(call.after, call.waitDeadline, call.deadline);
}

void DirectoryWorker::pull(const SourceCall &call)
{
    m_context.metrics.counter(QStringLiteral("directory.pulls")).add();
    const QByteArray path = QByteArray(directoryPath) + '?' + objectivesParameter + '&' + eraParameter + QByteArray::number(call.after.era) + '&'
                            + afterParameter + QByteArray::number(call.after.revision);
    const std::optional<HttpReply> answer = m_peers.get(call.peer, path, call.deadline);
    std::optional<DirectoryBatch> batch;
    if (answer && answer->status == okStatus) {
        batch = decodeDirectoryBatch(Clock::now(), answer->body);
    }
    if (batch && !m_watcher.accepts(batch->position)) {
        m_context.metrics.counter(QStringLiteral("directory.outdated-pulls")).add();
        batch.reset();
    }
    const QString from = call.peer.toString();
    if (!batch) {
        m_watcher.onPulled(Clock::now(), std::nullopt);
        m_context.log.record(
            EventNumber::DirectoryPulled,
            QStringLiteral("no changes from %1: %2").arg(from, answer ? QStringLiteral("the peer has no directory, or an outdated one") : m_peers.lastError()));
        return;
    }
    m_context.log.record(EventNumber::DirectoryPulled,
                         QStringLiteral("%1 changes from %2 up to revision %3").arg(batch->changes.size()).arg(from).arg(batch->position.toString()));
    m_watcher.onPulled(Clock::now(), batch->position);
    publish(std::move(*batch));
}

void DirectoryWorker::record(const SourceCall &call, const SourceAnswer &answer, Duration elapsed)
{
    const bool isFullRead = call.kind == SourceCall::Kind::ReadAll;
    if (answer.result == SourceResult::Failed || (answer.changes.empty() && answer.result == SourceResult::Read)) {
        return;
    }
    const QString description = answer.result == SourceResult::HistoryCompacted ? QStringLiteral("the source no longer has the history")
                                                                                : QStringLiteral("%1 changes").arg(answer.changes.size());
    m_context.log.record(EventNumber::DirectoryRead,
                         QStringLiteral("%1 after revision %2 up to revision %3: %4, %5 ms")
                             .arg(isFullRead ? QStringLiteral("reading") : QStringLiteral("watch"))
                             .arg(isFullRead ? QStringLiteral("0") : call.after.toString())
                             .arg(answer.position.toString())
                             .arg(description)
                             .arg(milliseconds(elapsed)));
}

void DirectoryWorker::processAnswer(TimePoint now, const SourceCall &call, SourceAnswer answer)
{
    m_watcher.onAnswer(now, answer);
    const bool isAvailable = answer.result != SourceResult::Failed;
    DirectoryBatch batch{answer.position, std::move(answer.changes), isAvailable};
    if (m_isAvailable != isAvailable) {
        m_isAvailable = isAvailable;
        m_context.isSourceAvailable = isAvailable;
        m_context.log.record(isAvailable ? EventNumber::PlatformReturned : EventNumber::PlatformUnavailable, answer.diagnostic);
    } else if (isAvailable && !answer.diagnostic.isEmpty()) {
        m_context.log.record(EventNumber::DirectoryEntryRefused, answer.diagnostic);
    }
    // A watch that returns no change although the revision has risen has missed changes.
    const bool hasMissedChanges = call.kind == SourceCall::Kind::Watch && batch.changes.empty() && batch.position > call.after;
    if (hasMissedChanges) {
        m_watcher.requestFullRead();
        return;
    }
    if (!batch.changes.empty() || answer.result == SourceResult::Read) {
        publish(std::move(batch));
    }
}

void DirectoryWorker::publish(DirectoryBatch batch)
{
    {
        const std::scoped_lock lock(m_imageMutex);
        m_image.apply(batch);
    }
    if (!m_context.changes.push(std::make_shared<const DirectoryBatch>(std::move(batch)))) {
        // The dropped changes are read again; those already applied stay valid, because revisions order the changes.
        m_context.log.record(EventNumber::RingFull, QStringLiteral("directory changes"));
        m_watcher.requestFullRead();
    }
    m_context.packetWakeup.notify();
}

}
