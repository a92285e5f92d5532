#pragma once

#include "core/timepoint.h"
#include "stream/loadreport.h"

#include <QtGlobal>

namespace Rattanpick
{

/// Measures the load of a target from the requests that pass through its agent.
class LoadMeter
{
public:
    /// Builds a meter for a target that processes @p slotCount requests concurrently.
    explicit LoadMeter(quint32 slotCount = 1);

    /// Sets how many requests the target processes concurrently; at least 1.
    void setSlotCount(quint32 slotCount);

    /// A request begins.
    void begin(TimePoint now);

    /// A request was answered.
    void answer(TimePoint now);

    /// A request ends without an answer, but the target has worked on it.
    void abandon(TimePoint now);

    /// What was counted as a request since @p begin was none; its time is subtracted.
    void discard(TimePoint now, TimePoint begin);

    /// Requests in progress at the target.
    quint32 inProgress() const
    {
        return m_inProgress;
    }

    /// Mean time for which a request occupies a slot, as of the latest change; a default before the first answer.
    std::chrono::duration<double> serviceTime() const;

    /// The current load, without the members that are not measured here.
    LoadReport report(TimePoint now) const;

private:
    double meanAt(TimePoint now) const;
    double busySecondsAt(TimePoint now) const;
    double busySlots() const;
    void change(TimePoint now, int difference);

    quint32 m_slotCount;
    quint32 m_inProgress = 0;
    double m_mean = 0;
    TimePoint m_changedAt{};
    /// Busy time of the slots and the number of requests answered in it; older values decay.
    double m_busySeconds = 0;
    double m_answers = 0;
};

}
