#pragma once

#include "configservice/backoff.h"
#include "stream/directorysource.h"
#include "stream/directorywatchersettings.h"

#include <QList>

#include <optional>
#include <random>

namespace Rattanpick
{

/// The next call to a directory source.
struct SourceCall
{
    enum class Kind : quint8 {
        /// Make no call before the time.
        Wait,
        ReadAll,
        Watch,
        /// Fetch the changes that a peer has.
        Pull,
    };

    Kind kind = Kind::Wait;
    /// Wait: when to call next() again.
    TimePoint time;
    /// Pull: endpoint where the peer serves its directory.
    Endpoint peer;
    /// Watch and Pull: the position that this process has.
    DirectoryPosition after;
    /// Watch: how long the source waits for a change.
    TimePoint waitDeadline;
    /// When the call times out.
    TimePoint deadline;

    bool operator==(const SourceCall &) const = default;
};

/// Decides when a process reads its directory source, watches it, or pulls changes from peers.
///
/// Every process does one full read at its start. After that only readers watch the source; the other processes are
/// notified of updates by peers.
class DirectoryWatcher
{
public:
    /// Builds a watcher that starts with a full read.
    explicit DirectoryWatcher(const DirectoryWatcherSettings &settings);

    /// The call to make now.
    SourceCall next(TimePoint now) const;

    /// What an answer to the call is worth: one of an earlier era than this process has read fails, and a watch of a source
    /// that was restored meanwhile no longer has the history.
    SourceResult resultOf(const SourceCall &call, const SourceAnswer &answer) const;

    /// Processes the result of the latest call to the source.
    void onAnswer(TimePoint now, const SourceAnswer &answer);

    /// Whether the changes of a peer lead to a position that is not of an earlier era.
    bool accepts(const DirectoryPosition &position) const
    {
        return position.era >= m_position.era;
    }

    /// Processes the result of a pull: the position that the peer's changes lead to, or nothing on failure.
    void onPulled(TimePoint now, const std::optional<DirectoryPosition> &position);

    /// Makes the next call a full read without delay; used after the process was paused.
    void requestFullRead();

    /// Makes the next call a pull from the peer, which has a newer position.
    void requestPull(const Endpoint &peer);

    /// Sets whether this process watches the source on behalf of others.
    void setReader(bool isReader)
    {
        m_isReader = isReader;
    }

    /// Sets the peers that are queried in turn while the first full read fails.
    void setSeeds(const QList<Endpoint> &seeds)
    {
        m_seeds = seeds;
    }

    /// Whether the latest call to the source succeeded.
    bool isAvailable() const
    {
        return m_isAvailable;
    }

private:
    DirectoryWatcherSettings m_settings;
    std::mt19937_64 m_random;
    Backoff m_backoff;
    DirectoryPosition m_position;
    bool m_needsFullRead = true;
    bool m_isReader = false;
    std::optional<Endpoint> m_peer;
    QList<Endpoint> m_seeds;
    qsizetype m_nextSeed = 0;
    bool m_isAvailable = false;
    TimePoint m_callTime{};
};

}
