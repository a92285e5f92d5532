#include "stream/answermeter.h"

#include <algorithm>
#include <cmath>

namespace Rattanpick
{

namespace
{

/// Weight of one request; a target that begins to fail half of them shows it after about ten.
constexpr double requestWeight = 0.08;
/// Time after which an old failure counts for 37%.
constexpr double forgetSeconds = 3;
/// An answer that is shorter and quicker than these shares of the usual is one of a failure.
constexpr double shortShare = 0.5;
constexpr double quickShare = 0.3;
/// Weight of one answer in what is usual.
constexpr double usualWeight = 0.03;
/// Answers before their mean is told, and their greatest age: a target that gets no flows is tried again.
constexpr int leastAnswers = 8;
constexpr Duration answerMemory = 3s;
constexpr double maximumBytes = 65535;

}

void AnswerMeter::answered(TimePoint now, quint16 bytes, Duration elapsed)
{
    const double time = std::chrono::duration<double>(elapsed).count();
    const bool isUsualKnown = m_usualAnswers >= leastAnswers;
    const bool isFailure = isUsualKnown && bytes < m_usualBytes * shortShare && time < m_usualSeconds * quickShare;
    countFailure(now, isFailure);
    if (!isFailure) {
        ++m_usualAnswers;
        const double weight = std::max(usualWeight, 1.0 / m_usualAnswers);
        m_usualBytes += weight * (bytes - m_usualBytes);
        m_usualSeconds += weight * (time - m_usualSeconds);
    }
    if (now - m_answeredAt > answerMemory) {
        m_answers = 0;
    }
    m_answeredAt = now;
    ++m_answers;
    const double weight = std::max(requestWeight, 1.0 / m_answers);
    m_bytes += weight * (bytes - m_bytes);
}

void AnswerMeter::failed(TimePoint now)
{
    countFailure(now, true);
}

void AnswerMeter::countFailure(TimePoint now, bool isFailure)
{
    m_failure = failureAt(now) * (1 - requestWeight) + (isFailure ? requestWeight : 0);
    m_failureAt = now;
}

quint16 AnswerMeter::failurePermille(TimePoint now) const
{
    return static_cast<quint16>(std::lround(failureAt(now) * 1000));
}

quint16 AnswerMeter::meanBytes(TimePoint now) const
{
    const bool isKnown = m_answers >= leastAnswers && now - m_answeredAt <= answerMemory;
    return isKnown ? static_cast<quint16>(std::clamp(m_bytes, 1.0, maximumBytes)) : 0;
}

double AnswerMeter::failureAt(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_failureAt).count();
    return m_failure * std::exp(-std::max(0.0, elapsed) / forgetSeconds);
}

}
