#include "stream/answermeter.h"

#include <algorithm>
#include <cmath>

namespace Rattanpick
{

namespace
{

/// Weight of one request in the failure rate; a target that starts to fail half of its requests shows it after about
/// ten.
constexpr double requestWeight = 0.08;
/// Time constant of the exponential decay of the failure rate: after it, an old failure still counts for 37%.
constexpr double failureDecaySeconds = 3;
/// An answer counts as a failure if it is both shorter and faster than these shares of the typical answer.
constexpr double shortShare = 0.5;
constexpr double quickShare = 0.3;
/// Weight of one answer in the averages of typical answers.
constexpr double typicalWeight = 0.03;
/// The mean length is reported after this many answers and until it is this old; once it has expired, a target that
/// gets no flows is tried again.
constexpr int minimumAnswers = 8;
constexpr Duration answerRetention = 3s;
constexpr double maximumBytes = 65535;

}

void AnswerMeter::answered(TimePoint now, quint16 bytes, Duration elapsed)
{
    const double time = std::chrono::duration<double>(elapsed).count();
    const bool isTypicalKnown = m_typicalAnswers >= minimumAnswers;
    const bool isFailure = isTypicalKnown && bytes < m_typicalBytes * shortShare && time < m_typicalSeconds * quickShare;
    countFailure(now, isFailure);
    if (!isFailure) {
        ++m_typicalAnswers;
        const double weight = std::max(typicalWeight, 1.0 / m_typicalAnswers);
        m_typicalBytes += weight * (bytes - m_typicalBytes);
        m_typicalSeconds += weight * (time - m_typicalSeconds);
    }
    if (now - m_answeredAt > answerRetention) {
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
    const bool isKnown = m_answers >= minimumAnswers && now - m_answeredAt <= answerRetention;
    return isKnown ? static_cast<quint16>(std::clamp(m_bytes, 1.0, maximumBytes)) : 0;
}

double AnswerMeter::failureAt(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_failureAt).count();
    return m_failure * std::exp(-std::max(0.0, elapsed) / failureDecaySeconds);
}

}
