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
    call.time = std::max(m_callTime, m_backoff.deadline());
    if (now < call.time) {
        return call;
    }
    call.afterRevision = m_revision;
    if (m_needsReading) {
        call.kind = SourceCall::Kind::ReadAll;
        call.deadline = now + m_settings.readTimeout;
        return call;
    }
    call.kind = SourceCall::Kind::Watch;
    call.waitDeadline = now + m_settings.watchTime;
    call.deadline = call.waitDeadline + m_settings.watchSlack;
    return call;
}

void DirectoryWatcher::onAnswer(TimePoint now, const SourceAnswer &answer)
{
    switch (answer.result) {
    case SourceResult::Read:
        m_revision = std::max(m_revision, answer.revision);
        m_needsReading = false;
        m_isAvailable = true;
        m_backoff.succeed();
        m_callTime = answer.changes.empty() ? now : now + m_settings.gatherTime;
        break;
    case SourceResult::HistoryGone:
        m_needsReading = true;
        m_callTime = now;
        break;
    case SourceResult::Failed:
        m_isAvailable = false;
        m_backoff.fail(now, m_random);
        break;
    }
}

void DirectoryWatcher::requestReading()
{
    m_needsReading = true;
    m_callTime = {};
}

}
