#include "stream/directorywatcher.h"

#include <algorithm>

namespace Rattanpick
{

DirectoryWatcher::DirectoryWatcher(const DirectoryWatcherSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_backoff(settings.minimumBackoff, settings.maximumBackoff)
{
}

SourceCall DirectoryWatcher::next(TimePoint now) const
{
    SourceCall call;
    call.after = m_position;
    // A peer is queried even while the source fails, since the failure may concern the connection of this process only.
    if (m_peer) {
        call.kind = SourceCall::Kind::Pull;
        call.peer = *m_peer;
        call.deadline = now + m_settings.pullTimeout;
        return call;
    }
    call.time = std::max(m_callTime, m_backoff.deadline());
    if (now < call.time) {
        return call;
    }
    if (m_needsFullRead) {
        call.kind = SourceCall::Kind::ReadAll;
        call.deadline = now + (m_position.isNull() && !m_seeds.isEmpty() ? m_settings.firstReadTimeout : m_settings.readTimeout);
        return call;
    }
    if (!m_isReader) {
        call.time = now + m_settings.watchTime;
        return call;
    }
    call.kind = SourceCall::Kind::Watch;
    call.waitDeadline = now + m_settings.watchTime;
    call.deadline = call.waitDeadline + m_settings.watchSlack;
    return call;
}

SourceResult DirectoryWatcher::resultOf(const SourceCall &call, const SourceAnswer &answer) const
{
    if (answer.result != SourceResult::Read) {
        return answer.result;
    }
    if (!accepts(answer.position)) {
        return SourceResult::Failed;
    }
    // The revision that the watch began at was given out again, so that its changes are not those since this process has read.
    const bool isRestored = call.kind == SourceCall::Kind::Watch && answer.position.era != call.after.era;
    return isRestored ? SourceResult::HistoryCompacted : SourceResult::Read;
}

void DirectoryWatcher::onAnswer(TimePoint now, const SourceAnswer &answer)
{
    switch (answer.result) {
    case SourceResult::Read:
        m_position = std::max(m_position, answer.position);
        m_needsFullRead = false;
        m_isAvailable = true;
        m_backoff.succeed();
        m_callTime = answer.changes.empty() ? now : now + m_settings.batchInterval;
        break;
    case SourceResult::HistoryCompacted:
        m_needsFullRead = true;
        m_callTime = now;
        break;
    case SourceResult::Failed:
        m_isAvailable = false;
        m_backoff.fail(now, m_random);
        if (m_position.isNull() && !m_seeds.isEmpty()) {
            m_peer = m_seeds.at(m_nextSeed++ % m_seeds.size());
        }
        break;
    }
}

void DirectoryWatcher::onPulled(TimePoint now, const std::optional<DirectoryPosition> &position)
{
    m_peer.reset();
    if (!position) {
        // Falls back to the source, which has at least the position of the peer.
        m_needsFullRead = true;
        m_callTime = std::max(m_callTime, now);
        return;
    }
    m_position = std::max(m_position, *position);
}

void DirectoryWatcher::requestPull(const Endpoint &peer)
{
    m_peer = peer;
}

void DirectoryWatcher::requestFullRead()
{
    m_needsFullRead = true;
    m_callTime = {};
}

}
