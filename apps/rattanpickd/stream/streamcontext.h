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

/// The end of one verification.
struct Verification
{
    TimePoint sentAt{};
    /// The revision of the source; nothing if it did not answer.
    std::optional<quint64> revision;
};

/// What the duties of one process that forwards byte-stream flows share.
struct StreamContext
{
    /// Answers of the directory source that wait for the packet duty; it makes a few calls a second.
    static constexpr std::size_t changeRingSize = 64;

    /// Builds the context; @p segmentFormat and @p directorySource must outlive it.
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

    /// From the directory duty to the packet duty.
    BoundedRing<std::shared_ptr<const DirectoryBatch>> changes{changeRingSize};
    /// From the verification duty to the packet duty; there is at most one verification at a time.
    BoundedRing<Verification> verifications{changeRingSize};
    Wakeup packetWakeup;
    Wakeup directoryWakeup;
    Wakeup verificationWakeup;
    Wakeup settingsWakeup;

    /// Whether callers may be sent here; the packet duty sets it.
    std::atomic<bool> isReady = false;
    /// How often the network was told that callers may not be sent here, since the planned stop began.
    std::atomic<int> refusedReadiness = 0;
    /// Set by the signal that orders a planned stop.
    std::atomic<bool> isStopping = false;
    /// The directory duty is to read everything again.
    std::atomic<bool> isReadingWanted = false;
    /// The directory duty is to watch the source for others.
    std::atomic<bool> isReader = false;
    /// Peers that the directory duty is to ask for what they know.
    BoundedRing<Endpoint> informants{changeRingSize};
    /// Seeds of changed settings, from the settings duty to the directory duty.
    BoundedRing<std::shared_ptr<const QList<Endpoint>>> seeds{changeRingSize};
    /// The verification duty is to ask the source for its revision.
    std::atomic<bool> isVerificationWanted = false;
    /// Set when all duties shall end.
    std::atomic<bool> isEnding = false;
};

}
