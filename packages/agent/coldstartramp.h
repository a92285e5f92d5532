#pragma once

#include "agent/coldstartrampsettings.h"
#include "core/timepoint.h"

#include <QtGlobal>

#include <cstddef>
#include <optional>

namespace Rattanpick
{

/// Limits the load of a target that may be cold, from the response times that the agent measures.
///
/// The permitted share of full load starts at the cold share and reaches 1 after the warm time; only time that is
/// confirmed by good response times counts. The baseline is a low quantile of response times. It falls quickly, so that
/// a target that is cold when the agent starts leaves no lasting high baseline, and it hardly rises on slow responses.
class ColdStartRamp
{
public:
    /// Builds a ramp for a cold target with one slot.
    explicit ColdStartRamp(const ColdStartRampSettings &settings);

    /// Sets the capacity of the target; @p slotCount is at least 1, the share is in 1 to 100 percent.
    void setLimits(quint32 slotCount, int coldSharePercent, int warmSeconds);

    // Evidence

    /// A request has been delivered to the target.
    void onStart(TimePoint now);

    /// The target has answered after @p responseTime; @p isOverlapping if it had other requests when this one started.
    void onResponse(TimePoint now, Duration responseTime, bool isOverlapping = false);

    /// The target has not answered a request within @p elapsed.
    void onNoAnswer(TimePoint now, Duration elapsed);

    /// The target has shed a request; the time since the last good response is not credited.
    void onShed(TimePoint now);

    /// Restarts the ramp at the cold share, since the target process was replaced or has become slow.
    void turnCold();

    // Limits

    /// The permitted share, above 0 and at most 1.
    double share() const;

    /// The permitted share in permille.
    quint16 sharePermille() const;

    /// Whether the whole share is permitted.
    bool isWarm() const;

    /// The maximum number of concurrent requests at the target.
    std::size_t permittedConcurrency() const;

    /// The minimum time between two starts; 0 for a warm target or while the mean service time is unknown.
    Duration startInterval() const;

    /// Whether a request may start now while @p inTarget others are in progress.
    bool mayStart(TimePoint now, std::size_t inTarget) const;

    /// When the latest request was delivered; empty before the first.
    std::optional<TimePoint> lastStart() const
    {
        return m_lastStart;
    }

    /// The expected response time of the warm target; empty before the first answer.
    std::optional<Duration> baseline() const;

    /// The mean of recent response times; empty before the first answer.
    std::optional<Duration> meanServiceTime() const;

    /// How often the ramp was reset after it had begun to rise.
    quint64 coldTurns() const
    {
        return m_coldTurns;
    }

private:
    void updateBaseline(TimePoint now, double seconds);
    void countSlow(bool isSlow);
    void countOverlap(bool isSlow, bool isOverlapping);

    ColdStartRampSettings m_settings;
    quint32 m_slotCount = 1;
    Duration m_warmProgress{};
    double m_baselineSeconds = 0;
    double m_baselineUpdates = 0;
    double m_meanSeconds = 0;
    /// One bit for each of the latest responses, the newest in bit 0; set for a slow response.
    quint64 m_recentSlow = 0;
    /// Consecutive slow responses to overlapping requests, and consecutive good ones to requests that ran alone.
    int m_slowOverlaps = 0;
    int m_goodSingles = 0;
    quint64 m_coldTurns = 0;
    std::optional<TimePoint> m_lastStart;
    std::optional<TimePoint> m_lastEvidence;
};

}
