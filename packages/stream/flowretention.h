#pragma once

#include "stream/flowretentionsettings.h"
#include "stream/targetdirectory.h"

namespace Rattanpick
{

/// Decides when a process may remove a flow from its table, and whether the table contains every flow that may still be
/// in use.
///
/// The idle timeout in force applies to all flows, also to those that were idle when it changed. A flow that was removed
/// under a shorter timeout may therefore be in use again later.
class FlowRetention
{
public:
    /// Builds a retention that follows the idle timeout of the active routes; @p directory must outlive it.
    FlowRetention(const FlowRetentionSettings &settings, const TargetDirectory &directory);

    /// When the flow may be removed. @p isFinished: both of its ends have finished.
    TimePoint expiry(TimePoint latestActivity, bool isFinished) const;

    /// When a flow that is checked now is checked next.
    TimePoint nextCheck(TimePoint now) const
    {
        return now + m_settings.checkInterval;
    }

    /// The target may hold flows without an entry whose latest activity was at this time or before: they were removed, or
    /// this process was not running.
    void recordUnknown(TimePoint latestActivity);

    /// The target holds no flow whose latest activity was at this time or before.
    void forgetUnknown(TimePoint latestActivity);

    /// The target's process has started within the lifetime of this one, so that it holds no flow from before.
    void onTargetStarted();

    /// Whether every flow without an entry has been idle for longer than the idle timeout.
    bool isComplete(TimePoint now) const;

private:
    Duration idleRetention() const;

    FlowRetentionSettings m_settings;
    const TargetDirectory &m_directory;
    /// Latest activity that a flow without an entry can have had.
    TimePoint m_latestUnknownActivity = TimePoint::min();
};

}
