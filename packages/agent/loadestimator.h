#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// The recent mean load of a target: requests at the target and before it, relative to what it bears.
///
/// A target with two slots has only three states at any moment; the exponentially weighted mean over time
/// makes targets comparable that differ by less than a slot.
class LoadEstimator
{
public:
    /// Builds an estimator for an idle target; @p timeConstant is the time after which an old load counts for 37%.
    explicit LoadEstimator(Duration timeConstant);

    /// From now on @p requests are at the target or before it, which bears @p permittedSlots (above 0) at once.
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
