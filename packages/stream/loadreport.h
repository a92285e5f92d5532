#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// The load of a target as measured by its agent.
struct LoadReport
{
    /// Requests in progress at the target, plus openings that are queued for it.
    quint16 requestsInProgress = 0;
    /// Mean of requestsInProgress over about a second, in hundredths.
    quint16 meanInProgressHundredths = 0;
    /// Flows that the target holds.
    quint16 flows = 0;
    /// Mean time for which a request occupies a slot of the target, in microseconds; 0 if unknown.
    quint32 serviceMicroseconds = 0;
    /// Recent share of failed requests, in permille.
    quint16 failurePermille = 0;
    /// Mean length of the first segment of an answer, in bytes; 0 if unknown.
    quint16 answerBytes = 0;
    /// The agent accepts no new flows: planned stop, drain, evacuation, or a target that has ended.
    bool isClosed = false;

    bool operator==(const LoadReport &) const = default;
};

}
