#include "stream/loadmeter.h"

#include "core/assertion.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Rattanpick
{

namespace
{

/// Long flows bring about one request a second, so that a shorter mean would not see most of them.
constexpr double meanSeconds = 1.0;
/// Weight of one request in the mean service time; about thirty requests forget an old speed.
constexpr double serviceWeight = 0.06;
/// Service time while none is known; the requests of today's services take 5 to 39 ms.
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

bool LoadMeter::begin(TimePoint now)
{
    const bool hasFreeSlot = m_inProgress < m_slotCount;
    change(now, 1);
    return hasFreeSlot;
}

void LoadMeter::abandon(TimePoint now)
{
    change(now, -1);
}

void LoadMeter::answer(TimePoint now, Duration elapsed, bool isServiceSample)
{
    change(now, -1);
    if (!isServiceSample) {
        return;
    }
    const double sample = std::chrono::duration<double>(elapsed).count();
    m_serviceSeconds = m_serviceSeconds > 0 ? m_serviceSeconds + serviceWeight * (sample - m_serviceSeconds) : sample;
}

std::chrono::duration<double> LoadMeter::serviceTime() const
{
    return std::chrono::duration<double>(m_serviceSeconds > 0 ? m_serviceSeconds : assumedSeconds);
}

LoadReport LoadMeter::report(TimePoint now) const
{
    LoadReport load;
    load.requestsInProgress = clamped(m_inProgress);
    load.meanInProgressHundredths = clamped(meanAt(now) * 100);
    load.serviceMicroseconds = static_cast<quint32>(m_serviceSeconds * 1e6);
    return load;
}

double LoadMeter::meanAt(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_changedAt).count();
    const double share = std::exp(-elapsed / meanSeconds);
    return m_mean * share + m_inProgress * (1 - share);
}

void LoadMeter::change(TimePoint now, int difference)
{
    RP_ASSERT(difference > 0 || m_inProgress > 0);
    m_mean = meanAt(now);
    m_changedAt = now;
    m_inProgress = static_cast<quint32>(static_cast<int>(m_inProgress) + difference);
}

}
