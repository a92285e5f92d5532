#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

namespace Rattanpick
{

/// Estimates the failure rate of a target and the mean length of its answers from the timing and size of the answers.
///
/// The content of an answer is never read. A target that fails requests looks fast and idle, because its answers are
/// immediate and short. Both together are very rare for a healthy target.
class AnswerMeter
{
public:
    /// Records a request that was answered after @p elapsed, with @p bytes of data in the first segment of the answer.
    void answered(TimePoint now, quint16 bytes, Duration elapsed);

    /// Records a request that got no answer, or whose flow the target closed without one.
    void failed(TimePoint now);

    /// Share of failed requests in permille; decays while no request fails.
    quint16 failurePermille(TimePoint now) const;

    /// Mean length of the first segment of an answer; 0 while there are too few recent answers.
    quint16 meanBytes(TimePoint now) const;

private:
    double failureAt(TimePoint now) const;
    void countFailure(TimePoint now, bool isFailure);

    double m_failure = 0;
    TimePoint m_failureAt{};
    double m_bytes = 0;
    int m_answers = 0;
    /// Averages over the answers that do not look like failures.
    double m_typicalBytes = 0;
    double m_typicalSeconds = 0;
    int m_typicalAnswers = 0;
    TimePoint m_answeredAt{};
};

}
