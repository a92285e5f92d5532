#pragma once

#include "core/timepoint.h"
#include "stream/directorychange.h"

#include <QString>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// How a call to a directory source ended.
enum class SourceResult : quint8 {
    /// The changes are complete up to the revision.
    Read,
    /// The source no longer knows what happened since the revision asked for.
    HistoryCompacted,
    /// No usable answer.
    Failed,
};

/// The answer of a directory source.
struct SourceAnswer
{
    SourceResult result = SourceResult::Failed;
    /// Revision up to which the changes reach.
    quint64 revision = 0;
    std::vector<DirectoryChange> changes;
    /// Why the call failed, or what was skipped; empty if there is nothing to tell.
    QString remark;

    bool operator==(const SourceAnswer &) const = default;
};

/// Where targets, data centres and routes are published. Calls block the calling thread.
class DirectorySource
{
public:
    virtual ~DirectorySource() = default;

    /// Everything that is published now; the changes end with a ReadingCompleted.
    virtual SourceAnswer readAll(TimePoint deadline) = 0;

    /// What has changed after the revision; waits until @p waitDeadline for a change, and until @p deadline for an answer.
    virtual SourceAnswer watch(quint64 afterRevision, TimePoint waitDeadline, TimePoint deadline) = 0;

    /// The revision of the source; nothing on failure. May be called while another thread reads or watches.
    virtual std::optional<quint64> currentRevision(TimePoint deadline) = 0;

    /// Makes the current reading or watch fail; later ones work. May be called from any thread.
    virtual void interrupt() = 0;

    /// Makes the current and all later calls fail at once; may be called from any thread.
    virtual void cancel() = 0;
};

}
