#pragma once

#include "proof/history.h"

#include <QString>

#include <vector>

namespace Rattanpick::Proof
{

/// A violation of one of the points P1 to P10, with the records that show it.
struct Violation
{
    /// 1 to 10, for P1 to P10.
    int point = 0;
    QString text;
    /// Indices into the history.
    std::vector<std::size_t> records;
};

/// Bounds that the checker applies; the defaults are those that the design promises.
struct HistoryCheckerSettings
{
    /// Time within which a configuration change must be effective everywhere (P4, P8, P10).
    VirtualTime effectTime = std::chrono::seconds(4);
    /// Window over which the load of a cold target is averaged (P3).
    VirtualTime loadWindow = std::chrono::seconds(4);
    /// Requests above the capacity of a target that became cold without notice before the change must be detected (P3).
    /// Detection takes 8 slow requests by design.
    int undetectedColdAllowance = 8;
    /// Time after its deadline within which a request must have ended for its caller (P5).
    VirtualTime endingTime = std::chrono::seconds(5);
};

/// Checks P1 to P10 from the records of a run alone.
///
/// Shares no code with the decision objects, so that a fault in them cannot hide itself from the check.
///
/// P1: established flows survive planned changes.
/// P2: packets reach targets of their own service only.
/// P3: cold targets get no more load than they can handle.
/// P4: a data centre that was taken out gets no packets.
/// P5: each request ends for its caller, and an answer belongs to its request.
/// P6: a request that was refused as not run never ran.
/// P7: a request that is not idempotent runs at most once.
/// P8: draining targets get no new flows or requests.
/// P9: a planned stop completes the requests in progress.
/// P10: an accepted configuration reaches every process and is never reverted.
class HistoryChecker
{
public:
    explicit HistoryChecker(const HistoryCheckerSettings &settings = {});

    /// All violations in the history, ordered by point.
    std::vector<Violation> check(const History &history) const;

    /// The violations of one point, 1 to 10.
    std::vector<Violation> checkPoint(const History &history, int point) const;

private:
    HistoryCheckerSettings m_settings;
};

/// The violation and its records, one line each.
QString describe(const Violation &violation, const History &history);

}
