#include "stream/loadmeter.h"

#include "core/assertion.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Rattanpick
{

namespace
{

/// Time constant of the mean. Long flows carry about one request a second, so a shorter one would miss most of them.
constexpr double meanSeconds = 1.0;
/// Weight of one answer in the mean service time; the mean follows a change of speed after about thirty answers.
constexpr double answerWeight = 0.06;
/// Service time before the first measurement; requests of the existing services take 5 to 39 ms.
constexpr double assumedSeconds = 0.02;

quint16 clamped(double value)
{
    return static_cast<quint16>(std::clamp(value, 0.0, double{std::numeric_limits<quint16>::max()}));
}

}

LoadMeter::LoadMeter(quint32 slotCount)
    : m_slotCount(slotCount)
{
    RP_ASSERT(slotCount > 0);
}

void LoadMeter::setSlotCount(quint32 slotCount)
{
    RP_ASSERT(slotCount > 0);
    m_slotCount = slotCount;
}

void LoadMeter::begin(TimePoint now)
{
    change(now, 1);
}

void LoadMeter::answer(TimePoint now)
{
    change(now, -1);
    // Response times of single requests cannot be used: they include the wait in the target's queue, and if only
    // requests that find a free slot are counted, a target that is always busy yields no samples.
    m_answers += 1;
    m_answers *= 1 - answerWeight;
    m_busySeconds *= 1 - answerWeight;
}

void LoadMeter::abandon(TimePoint now)
{
    change(now, -1);
}

void LoadMeter::discard(TimePoint now, TimePoint begin)
{
    const double share = busySlots() / std::max<quint32>(1, m_inProgress);
    const double counted = std::chrono::duration<double>(now - begin).count() * share;
    change(now, -1);
    m_busySeconds = std::max(m_busySeconds - counted, 0.0);
}

std::chrono::duration<double> LoadMeter::serviceTime() const
{
    return std::chrono::duration<double>(m_answers > 0 ? m_busySeconds / m_answers : assumedSeconds);
}

LoadReport LoadMeter::report(TimePoint now) const
{
    LoadReport load;
    load.requestsInProgress = clamped(m_inProgress);
    load.meanInProgressHundredths = clamped(meanAt(now) * 100);
    load.serviceMicroseconds = m_answers > 0 ? static_cast<quint32>(std::lround(busySecondsAt(now) / m_answers * 1e6)) : 0;
    return load;
}

double LoadMeter::meanAt(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_changedAt).count();
    const double share = std::exp(-elapsed / meanSeconds);
    return m_mean * share + m_inProgress * (1 - share);
}

double LoadMeter::busySecondsAt(TimePoint now) const
{
    return m_busySeconds + busySlots() * std::chrono::duration<double>(now - m_changedAt).count();
}

double LoadMeter::busySlots() const
{
    return std::min(m_inProgress, m_slotCount);
}

void LoadMeter::change(TimePoint now, int difference)
{
    RP_ASSERT(difference > 0 || m_inProgress > 0);
    m_mean = meanAt(now);
    m_busySeconds = busySecondsAt(now);
    m_changedAt = now;
    m_inProgress = static_cast<quint32>(static_cast<int>(m_inProgress) + difference);
}

}
