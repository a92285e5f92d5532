#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// The recent mean load of a target: running and queued requests relative to the permitted slots.
///
/// A target with two slots has only three occupancy levels at any moment; the exponentially weighted mean over time
/// distinguishes loads that differ by less than a slot.
class LoadEstimator
{
public:
    /// Builds an estimator for an idle target; @p timeConstant is the time after which an old load has a weight of 37%.
    explicit LoadEstimator(Duration timeConstant);

    /// Sets the number of running and queued requests, and how many the target may run at once (above 0).
    void setOccupancy(TimePoint now, std::size_t requests, double permittedSlots);

    /// The mean load in permille; may exceed 1000.
    quint16 loadPermille(TimePoint now) const;

private:
    double meanAt(TimePoint now) const;

    Duration m_timeConstant;
    double m_mean = 0;
    double m_current = 0;
    TimePoint m_since{};
};

}
