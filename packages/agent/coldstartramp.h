#pragma once

#include "agent/coldstartrampsettings.h"
#include "core/timepoint.h"

#include <QtGlobal>

#include <cstddef>
#include <optional>

namespace Rattanpick
{

/// The share of full load that a target bears, from the response times that the agent itself has seen.
///
/// The share starts at the cold share and reaches 1 after the warm time; only time that good response
/// times vouch for counts. The baseline is a low quantile of response times: it falls quickly, so that a
/// target that is slow because it is cold at the start of the agent sets no lasting baseline, and it
/// hardly moves on slow ones.
class ColdStartRamp
{
public:
    /// Builds a cold ramp for one slot.
    explicit ColdStartRamp(const ColdStartRampSettings &settings);

    /// Sets what the target bears; @p slotCount is at least 1, the share is in 1 to 100 percent.
    void setLimits(quint32 slotCount, int coldSharePercent, int warmSeconds);

    // Evidence

    /// A request has been delivered to the target.
    void onStart(TimePoint now);

    /// The target has answered after @p responseTime; @p isOverlapping if other requests were at it when this one started.
    void onResponse(TimePoint now, Duration responseTime, bool isOverlapping = false);

    /// The target has not answered a request within @p elapsed.
    void onNoAnswer(TimePoint now, Duration elapsed);

    /// The target has shed a request; the time since the last good response does not count.
    void onShed(TimePoint now);

    /// The target process is another one: nothing is known about how warm it is.
    void turnCold();

    // Limits

    /// The permitted share, above 0 and at most 1.
    double share() const;

    /// The permitted share in permille.
    quint16 sharePermille() const;

    /// Whether the whole share is permitted.
    bool isWarm() const;

    /// How many requests may be at the target at once.
    std::size_t permittedConcurrency() const;

    /// The least time between two starts; 0 for a warm target or while the mean service time is not known.
    Duration startInterval() const;

    /// Whether a request may start now beside @p inTarget others.
    bool mayStart(TimePoint now, std::size_t inTarget) const;

    /// When the latest request was delivered; nothing before the first.
    std::optional<TimePoint> lastStart() const
    {
        return m_lastStart;
    }

    /// The response time that a warm target is expected to keep; nothing before the first answer.
    std::optional<Duration> baseline() const;

    /// The mean of recent response times; nothing before the first answer.
    std::optional<Duration> meanServiceTime() const;

    /// How often a target that had begun to warm up has turned cold.
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
    /// One bit for each of the latest responses, the newest in bit 0; set if it was slow.
    quint64 m_recentSlow = 0;
    /// Slow responses in a row among those to overlapping requests, and good ones in a row among the others.
    int m_slowOverlaps = 0;
    int m_goodSingles = 0;
    quint64 m_coldTurns = 0;
    std::optional<TimePoint> m_lastStart;
    std::optional<TimePoint> m_lastEvidence;
};

}
