#pragma once

#include "core/timepoint.h"
#include "stream/directorychange.h"

#include <QString>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// Outcome of a call to a directory source.
enum class SourceResult : quint8 {
    /// The changes are complete up to the revision.
    Read,
    /// The source has compacted its history and no longer has the changes since the requested revision.
    HistoryCompacted,
    /// No usable response.
    Failed,
};

/// The result of a call to a directory source.
struct SourceAnswer
{
    SourceResult result = SourceResult::Failed;
    /// Revision that the changes lead to.
    quint64 revision = 0;
    std::vector<DirectoryChange> changes;
    /// Why the call failed or what was skipped; empty if there is nothing to report.
    QString diagnostic;

    bool operator==(const SourceAnswer &) const = default;
};

/// The service where targets, data centres and routes are published. Calls block the calling thread.
class DirectorySource
{
public:
    virtual ~DirectorySource() = default;

    /// Reads everything that is currently published; the changes end with a FullReadCompleted.
    virtual SourceAnswer readAll(TimePoint deadline) = 0;

    /// Reads the changes after the revision. Waits for a change until @p waitDeadline and for the response until @p
    /// deadline.
    virtual SourceAnswer watch(quint64 afterRevision, TimePoint waitDeadline, TimePoint deadline) = 0;

    /// The current revision of the source; nothing on failure. May be called while another thread reads or watches.
    virtual std::optional<quint64> currentRevision(TimePoint deadline) = 0;

    /// Aborts the current read or watch; later calls work. May be called from any thread.
    virtual void interrupt() = 0;

    /// Aborts the current call and makes all later ones fail at once. May be called from any thread.
    virtual void cancel() = 0;
};

}
