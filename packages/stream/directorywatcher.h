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
        /// No call before the time.
        Wait,
        ReadAll,
        Watch,
        /// Ask a peer for what it knows.
        Pull,
    };

    Kind kind = Kind::Wait;
    /// Wait: when to ask again.
    TimePoint time;
    /// Pull: where the peer serves its directory.
    Endpoint peer;
    /// Watch and Pull: the revision that is known.
    quint64 afterRevision = 0;
    /// Watch: until when the source waits for a change.
    TimePoint waitDeadline;
    /// When the call is given up.
    TimePoint deadline;

    bool operator==(const SourceCall &) const = default;
};

/// Decides when a process reads its directory source, watches it, and asks peers for what they know.
///
/// Every process reads once when it starts. After that readers watch; the others hear from peers that there is news.
class DirectoryWatcher
{
public:
    /// Builds a watcher that has read nothing.
    explicit DirectoryWatcher(const DirectoryWatcherSettings &settings);

    /// The call to make now.
    SourceCall next(TimePoint now) const;

    /// Takes in the answer of the source to the latest call.
    void onAnswer(TimePoint now, const SourceAnswer &answer);

    /// A peer has told what it knows up to the revision, or nothing.
    void onPulled(TimePoint now, std::optional<quint64> revision);

    /// The next call is a complete reading, at once; used after a pause of the process.
    void requestReading();

    /// A peer has a later revision: the next call asks it.
    void requestPull(const Endpoint &peer);

    /// Whether this process watches the source for others.
    void setReader(bool isReader)
    {
        m_isReader = isReader;
    }

    /// Peers to ask in turn while the first reading fails.
    void setSeeds(const QList<Endpoint> &seeds)
    {
        m_seeds = seeds;
    }

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
    bool m_isReader = false;
    std::optional<Endpoint> m_peer;
    QList<Endpoint> m_seeds;
    qsizetype m_nextSeed = 0;
    bool m_isAvailable = false;
    TimePoint m_callTime{};
};

}
