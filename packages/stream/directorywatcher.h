#pragma once

#include "configservice/backoff.h"
#include "stream/directorysource.h"
#include "stream/directorywatchersettings.h"

#include <random>

namespace Rattanpick
{

/// The next call to a directory source.
struct SourceCall
{
    enum class Kind : quint8 {
        /// No call before the time.
        Wait,
        ReadAll,
        Watch,
    };

    Kind kind = Kind::Wait;
    /// Wait: when to ask again.
    TimePoint time;
    /// Watch: the revision that is known.
    quint64 afterRevision = 0;
    /// Watch: until when the source waits for a change.
    TimePoint waitDeadline;
    /// When the call is given up.
    TimePoint deadline;

    bool operator==(const SourceCall &) const = default;
};

/// Decides when a process reads and watches its directory source: one complete reading, then watches.
class DirectoryWatcher
{
public:
    /// Builds a watcher that has read nothing.
    explicit DirectoryWatcher(const DirectoryWatcherSettings &settings);

    /// The call to make now.
    SourceCall next(TimePoint now) const;

    /// Takes in the answer to the latest call.
    void onAnswer(TimePoint now, const SourceAnswer &answer);

    /// The next call is a complete reading, at once; used after a pause of the process.
    void requestReading();

    /// Whether the latest call was answered.
    bool isAvailable() const
    {
        return m_isAvailable;
    }

private:
    DirectoryWatcherSettings m_settings;
    std::mt19937_64 m_random;
    Backoff m_backoff;
    quint64 m_revision = 0;
    bool m_needsReading = true;
    bool m_isAvailable = false;
    TimePoint m_callTime{};
};

}
