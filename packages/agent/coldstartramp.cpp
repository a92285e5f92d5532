#include "agent/coldstartramp.h"

#include "core/assertion.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>

namespace Rattanpick
{

namespace
{

using Seconds = std::chrono::duration<double>;

// Steps of the baseline, as a share of its value. Falling three times as fast as it rises, it converges to the lower
// quartile of the response times, so that a few short requests do not make the others appear slow.
constexpr double baselineFall = 0.0375;
constexpr double baselineRise = 0.0125;
// After this number of updates the steps shrink, down to a quarter. The baseline must converge fast, but with full
// steps later on, a fourfold mix of response times appeared slow in 8 of 16 responses.
constexpr double fullStepUpdates = 64;
constexpr double smallestStepShare = 0.25;
// A response time that is not good raises the baseline by elapsed time only: it doubles in this many warm times. A
// target that has become permanently slower is accepted eventually, while one that is cold for one warm time raises it
// by a fifth.
constexpr double driftWarmTimes = 4;
// Weight of the latest response time in the mean.
constexpr double meanWeight = 0.1;

double secondsOf(Duration duration)
{
    return std::chrono::duration_cast<Seconds>(duration).count();
}

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

}

ColdStartRamp::ColdStartRamp(const ColdStartRampSettings &settings)
    : m_settings(settings)
{
    RP_ASSERT(settings.coldSharePercent >= 1 && settings.coldSharePercent <= 100);
    RP_ASSERT(settings.slowLimit >= 1 && settings.slowWindow >= settings.slowLimit && settings.slowWindow < 64);
}

void ColdStartRamp::setLimits(quint32 slotCount, int coldSharePercent, int warmSeconds)
{
    RP_ASSERT(slotCount >= 1);
    RP_ASSERT(coldSharePercent >= 1 && coldSharePercent <= 100);
    m_slotCount = slotCount;
    m_settings.coldSharePercent = coldSharePercent;
    m_settings.warmTime = std::chrono::seconds(warmSeconds);
    m_warmProgress = std::min(m_warmProgress, m_settings.warmTime);
}

void ColdStartRamp::onStart(TimePoint now)
{
    m_lastStart = now;
}

void ColdStartRamp::onResponse(TimePoint now, Duration responseTime, bool isOverlapping)
{
    const double seconds = std::max(secondsOf(responseTime), 1e-6);
    const bool isFirst = m_baselineSeconds == 0;
    if (isFirst) {
        m_baselineSeconds = seconds;
        m_meanSeconds = seconds;
    }
    const bool isGood = seconds < m_baselineSeconds * m_settings.goodMultiple;
    const bool isSlow = seconds > m_baselineSeconds * m_settings.slowMultiple;
    if (isGood && !isFirst && m_lastEvidence) {
        // The ramp's own interval between starts is credited too, since it delays responses.
        const Duration credited = std::min(now - *m_lastEvidence, m_settings.maximumCredit + startInterval());
        m_warmProgress = std::min(m_warmProgress + credited, m_settings.warmTime);
    }
    m_meanSeconds += meanWeight * (seconds - m_meanSeconds);
    updateBaseline(now, seconds);
    m_lastEvidence = now;
    countSlow(isSlow);
    countOverlap(isSlow, isOverlapping);
}

void ColdStartRamp::onNoAnswer(TimePoint now, Duration elapsed)
{
    // The actual response time exceeds the elapsed time, which can show that the target is slow but never that it is
    // fast.
    const bool isSlow = m_baselineSeconds > 0 && secondsOf(elapsed) > m_baselineSeconds * m_settings.slowMultiple;
    m_lastEvidence = now;
    if (isSlow) {
        countSlow(true);
    }
}

void ColdStartRamp::onShed(TimePoint now)
{
    m_lastEvidence = now;
}

void ColdStartRamp::turnCold()
{
    m_recentSlow = 0;
    m_slowOverlaps = 0;
    m_goodSingles = 0;
    m_lastEvidence.reset();
    if (m_warmProgress == Duration::zero()) {
        return;
    }
    m_warmProgress = Duration::zero();
    ++m_coldTurns;
}

double ColdStartRamp::share() const
{
    if (isWarm()) {
        return 1;
    }
    const double coldShare = m_settings.coldSharePercent / 100.0;
    return coldShare + (1 - coldShare) * (secondsOf(m_warmProgress) / secondsOf(m_settings.warmTime));
}

quint16 ColdStartRamp::sharePermille() const
{
    return static_cast<quint16>(share() * 1000);
}

bool ColdStartRamp::isWarm() const
{
    return m_settings.strategy == ColdStartStrategy::NoRamp || m_warmProgress >= m_settings.warmTime;
}

std::size_t ColdStartRamp::permittedConcurrency() const
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(m_slotCount * share())));
}

Duration ColdStartRamp::startInterval() const
{
    if (isWarm()) {
        return Duration::zero();
    }
    return durationOf(m_meanSeconds / (m_slotCount * share()));
}

bool ColdStartRamp::mayStart(TimePoint now, std::size_t inTarget) const
{
    if (isWarm()) {
        return inTarget < m_slotCount;
    }
    // Without a service time the rate is unknown; one request at a time measures it.
    const std::size_t concurrency = m_meanSeconds == 0 ? 1 : permittedConcurrency();
    return inTarget < concurrency && (!m_lastStart || now >= *m_lastStart + startInterval());
}

std::optional<Duration> ColdStartRamp::baseline() const
{
    if (m_baselineSeconds == 0) {
        return std::nullopt;
    }
    return durationOf(m_baselineSeconds);
}

std::optional<Duration> ColdStartRamp::meanServiceTime() const
{
    if (m_meanSeconds == 0) {
        return std::nullopt;
    }
    return durationOf(m_meanSeconds);
}

void ColdStartRamp::updateBaseline(TimePoint now, double seconds)
{
    const double stepShare = std::clamp(fullStepUpdates / (m_baselineUpdates + 1), smallestStepShare, 1.0);
    if (seconds < m_baselineSeconds * m_settings.goodMultiple) {
        m_baselineUpdates += 1;
    }
    if (seconds < m_baselineSeconds) {
        m_baselineSeconds = std::max(seconds, m_baselineSeconds * (1 - baselineFall * stepShare));
        return;
    }
    if (seconds < m_baselineSeconds * m_settings.goodMultiple) {
        m_baselineSeconds = std::min(seconds, m_baselineSeconds * (1 + baselineRise * stepShare));
        return;
    }
    if (!m_lastEvidence || m_settings.warmTime == Duration::zero()) {
        return;
    }
    const Duration credited = std::min(now - *m_lastEvidence, m_settings.maximumCredit + startInterval());
    m_baselineSeconds *= std::exp2(secondsOf(credited) / (driftWarmTimes * secondsOf(m_settings.warmTime)));
}

void ColdStartRamp::countSlow(bool isSlow)
{
    // A window is used instead of consecutive responses: at light load a cold target is slow only for overlapping
    // requests, and one fast response between them prevented its detection (randomised seeds 17 and 19). While the
    // baseline converges, only consecutive responses count: after a first response that was fast by chance, many others
    // appear slow.
    const int window = m_baselineUpdates < fullStepUpdates ? m_settings.slowLimit : m_settings.slowWindow;
    m_recentSlow = m_recentSlow << 1 | (isSlow ? 1U : 0U);
    if (std::popcount(m_recentSlow & ((quint64{1} << window) - 1)) >= m_settings.slowLimit) {
        turnCold();
    }
}

void ColdStartRamp::countOverlap(bool isSlow, bool isOverlapping)
{
    if (!isOverlapping) {
        m_goodSingles = isSlow ? 0 : m_goodSingles + 1;
        m_slowOverlaps = isSlow ? 0 : m_slowOverlaps;
        return;
    }
    m_slowOverlaps = isSlow ? m_slowOverlaps + 1 : 0;
    // At light load a cold target is slow only for overlapping requests, which are too few for the window. Good
    // responses to single requests show that neither the mix of requests nor a low baseline is the reason for the slow
    // ones.
    if (m_slowOverlaps >= m_settings.slowOverlapLimit && m_goodSingles >= m_settings.goodSingleLimit) {
        turnCold();
    }
}

}
