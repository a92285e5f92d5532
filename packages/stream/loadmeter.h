#pragma once

#include "core/timepoint.h"
#include "stream/loadreport.h"

#include <QtGlobal>

namespace Rattanpick
{

/// Measures the load of a target from the requests that pass its agent.
class LoadMeter
{
public:
    /// Builds a meter for a target that runs @p slotCount requests at a time.
    explicit LoadMeter(quint32 slotCount = 1);

    /// Sets how many requests the target runs at a time; at least 1.
    void setSlotCount(quint32 slotCount);

    /// A request begins; whether it finds a free slot.
    bool begin(TimePoint now);

    /// A request ends unanswered.
    void abandon(TimePoint now);

    /// A request was answered after @p elapsed; @p isServiceSample as begin() told.
    void answer(TimePoint now, Duration elapsed, bool isServiceSample);

    /// Requests at the target.
    quint32 inProgress() const
    {
        return m_inProgress;
    }

    /// Mean time of a request that found a free slot; an assumption before the first.
    std::chrono::duration<double> serviceTime() const;

    /// The load at the moment, without the members that other parts know.
    LoadReport report(TimePoint now) const;

private:
    double meanAt(TimePoint now) const;
    void change(TimePoint now, int difference);

    quint32 m_slotCount;
    quint32 m_inProgress = 0;
    double m_mean = 0;
    TimePoint m_changedAt{};
    double m_serviceSeconds = 0;
};

}
