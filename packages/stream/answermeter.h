#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// Watches how a target answers: the share of requests that it fails, and how long its answers are.
///
/// What an answer says is not read. A target that fails requests looks fast and idle: its answers come at once and are
/// short. Both together hardly ever happen to a target that works.
class AnswerMeter
{
public:
    /// A request was answered after @p elapsed; @p bytes of data came in the first segment.
    void answered(TimePoint now, quint16 bytes, Duration elapsed);

    /// The target ended the flow of a request without an answer, or did not answer at all.
    void failed(TimePoint now);

    /// The share of failed requests in permille; falls while there are none.
    quint16 failurePermille(TimePoint now) const;

    /// Mean length of the answers' first segments; 0 while too few have come lately to tell.
    quint16 meanBytes(TimePoint now) const;

private:
    double failureAt(TimePoint now) const;
    void countFailure(TimePoint now, bool isFailure);

    double m_failure = 0;
    TimePoint m_failureAt{};
    double m_bytes = 0;
    int m_answers = 0;
    /// What is usual for answers that do not look like failures.
    double m_usualBytes = 0;
    double m_usualSeconds = 0;
    int m_usualAnswers = 0;
    TimePoint m_answeredAt{};
};

}
