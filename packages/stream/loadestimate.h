#pragma once

#include "core/timepoint.h"
#include "stream/loadreport.h"

namespace Rattanpick
{

/// Expected requests in progress at a target, from its latest load report and the flows offered since.
class LoadEstimate
{
public:
    /// The agent has reported the load of its target, whose requests take @p serviceSeconds.
    void onReport(TimePoint now, const LoadReport &load, double serviceSeconds);

    /// A flow was offered to the target.
    void onOffered(TimePoint now);

    /// Expected requests in progress if the target has @p mean of them in the long run.
    double requestsInProgress(TimePoint now, double mean) const;

private:
    double fade(TimePoint now) const;

    /// Requests counted by the report or offered since, as far as they were still expected at m_changedAt.
    double m_counted = 0;
    /// How far the report was still relevant at m_changedAt; 0 without a report.
    double m_relevance = 0;
    double m_fadePerSecond = 0;
    TimePoint m_changedAt{};
};

}
