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
    /// The changes are complete up to the position.
    Read,
    /// The source has compacted its history and no longer has the changes since the requested position.
    HistoryCompacted,
    /// No usable response.
    Failed,
};

/// What is wrong with the era that a source has named.
enum class EraProblem : quint8 {
    None,
    /// Named before, and missing now.
    Missing,
    /// Not a whole number of 64 bits.
    Malformed,
    /// Lower than one that was named before.
    Outdated,
    /// So much higher than the one before that no restorations can have led to it.
    Implausible,
    Count,
};

/// Name of the problem for logs.
const char *eraProblemName(EraProblem problem);

/// The result of a call to a directory source.
struct SourceAnswer
{
    SourceResult result = SourceResult::Failed;
    /// Position that the changes lead to.
    DirectoryPosition position;
    std::vector<DirectoryChange> changes;
    /// Why the call failed or what was skipped; empty if there is nothing to report.
    QString diagnostic;
    EraProblem eraProblem = EraProblem::None;

    bool operator==(const SourceAnswer &) const = default;
};

/// The service where targets, data centres and routes are published. Calls block the calling thread.
class DirectorySource
{
public:
    virtual ~DirectorySource() = default;

    /// Reads everything that is currently published; the changes end with a FullReadCompleted.
    virtual SourceAnswer readAll(TimePoint deadline) = 0;

    /// Reads the changes after the revision of the position; the source may be in another era. Waits for a change until @p waitDeadline and for the response
    /// until @p deadline.
    virtual SourceAnswer watch(const DirectoryPosition &after, TimePoint waitDeadline, TimePoint deadline) = 0;

    /// Reads the current position of the source, without changes. May be called while another thread reads or watches.
    virtual SourceAnswer currentPosition(TimePoint deadline) = 0;

    /// Aborts the current read or watch; later calls work. May be called from any thread.
    virtual void interrupt() = 0;

    /// Aborts the current call and makes all later ones fail at once. May be called from any thread.
    virtual void cancel() = 0;
};

}
