#pragma once

#include "rattanpickd/wakeup.h"

#include "core/boundedring.h"
#include "core/eventlog.h"
#include "core/metrics.h"
#include "stream/directoryimage.h"
#include "stream/directorysource.h"
#include "stream/segmentformat.h"
#include "stream/streamprocesssettings.h"

#include <atomic>
#include <memory>

namespace Rattanpick
{

/// The result of one verification of the directory.
struct Verification
{
    TimePoint sentAt{};
    /// Current position of the source; nothing if the source did not answer.
    std::optional<DirectoryPosition> position;
};

/// State shared by the workers of one process that forwards byte-stream flows.
struct StreamContext
{
    /// Answers of the directory source that wait for the stream worker; there are a few of them a second.
    static constexpr std::size_t changeRingSize = 64;

    /// Creates the context; @p segmentFormat and @p directorySource must outlive it.
    StreamContext(const StreamProcessSettings &processSettings,
                  const EventLogSettings &logSettings,
                  const SegmentFormat &segmentFormat,
                  DirectorySource &directorySource)
        : settings(processSettings)
        , format(segmentFormat)
        , source(directorySource)
        , log(logSettings)
    {
    }

    const StreamProcessSettings settings;
    const SegmentFormat &format;
    DirectorySource &source;
    EventLog log;
    Metrics metrics;

    /// From the directory worker to the stream worker.
    BoundedRing<std::shared_ptr<const DirectoryBatch>> changes{changeRingSize};
    /// From the verification worker to the stream worker; there is at most one verification at a time.
    BoundedRing<Verification> verifications{changeRingSize};
    Wakeup packetWakeup;
    Wakeup directoryWakeup;
    Wakeup verificationWakeup;
    Wakeup settingsWakeup;

    /// Whether the platform may send callers to this process; set by the stream worker.
    std::atomic<bool> isReady = false;
    /// The number of readiness probes answered with "not ready" since the planned stop began.
    std::atomic<int> refusedReadinessProbes = 0;
    /// Set by the signal that requests a planned stop.
    std::atomic<bool> isStopping = false;
    /// Requests that the directory worker reads the whole directory again.
    std::atomic<bool> isFullReadRequested = false;
    /// Whether this process is an elected reader: its directory worker watches the source on behalf of others.
    std::atomic<bool> isReader = false;
    /// Whether the source has answered the latest call of the directory worker.
    std::atomic<bool> isSourceAvailable = true;
    /// Peers from which the directory worker is to pull newer changes.
    BoundedRing<Endpoint> updateSources{changeRingSize};
    /// Seeds of changed settings, from the settings worker to the directory worker.
    BoundedRing<std::shared_ptr<const QList<Endpoint>>> seeds{changeRingSize};
    /// Changed settings for uneven and scarce load, from the settings worker to the stream worker.
    BoundedRing<BalancingSettings> balancing{changeRingSize};
    /// Requests that the verification worker asks the source for its position.
    std::atomic<bool> isVerificationRequested = false;
    /// Set to end all workers.
    std::atomic<bool> isTerminating = false;
};

}
