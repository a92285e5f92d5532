#include "proof/fault.h"

#include "core/assertion.h"

#include <QStringList>

#include <array>
#include <random>
#include <set>

namespace Rattanpick::Proof
{

namespace
{

constexpr std::array<const char *, static_cast<std::size_t>(FaultKind::Count)> kindNames{
    "KillBalancer", "KillAgent", "StopAgent",     "FreezeBalancer", "FreezeAgent",       "CutDataCentre", "CutAgent",      "CutBalancer",
    "LossyNetwork", "LossyPair", "RestartTarget", "TurnTargetCold", "SlowTarget",        "PlatformDown",  "PlatformStale", "PlatformRestored",
    "DrainTarget",  "AddTarget", "RemoveTarget",  "ReweightTarget", "TakeOutDataCentre", "RaceDocuments", "ReuseAddress"};

constexpr int minimumKinds = 3;
constexpr int shortestMilliseconds = 200;
constexpr int longestMilliseconds = 6000;

/// Added to the duration of planned absences: the checks of P4 and P8 apply only after the 4 s that a change may take
/// to become effective, so shorter absences would leave them untested.
constexpr Duration effectTime = 4s;

bool isPlannedAbsence(FaultKind kind)
{
    return kind == FaultKind::DrainTarget || kind == FaultKind::RemoveTarget || kind == FaultKind::TakeOutDataCentre;
}

}

QString Fault::toString() const
{
    const auto milliseconds = [](Duration span) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    };
    return QStringLiteral("%1 %2 at %3 ms for %4 ms")
        .arg(QLatin1String(kindNames.at(static_cast<std::size_t>(kind))))
        .arg(subject)
        .arg(milliseconds(at))
        .arg(milliseconds(duration));
}

FaultPlan generateFaultPlan(quint64 seed, std::size_t count, Duration span)
{
    RP_ASSERT(count >= minimumKinds);
    std::mt19937_64 random(seed);
    const auto spanMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    FaultPlan plan;
    std::set<FaultKind> kinds;
    while (plan.size() < count) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(random() % static_cast<quint64>(FaultKind::Count));
        fault.at = std::chrono::milliseconds(random() % static_cast<quint64>(spanMilliseconds));
        fault.duration = std::chrono::milliseconds(shortestMilliseconds + random() % (longestMilliseconds - shortestMilliseconds));
        if (isPlannedAbsence(fault.kind)) {
            fault.duration += effectTime;
        }
        fault.subject = random() % 64;
        const bool mustAddKind = plan.size() + (minimumKinds - std::min<std::size_t>(minimumKinds, kinds.size())) >= count;
        if (mustAddKind && kinds.contains(fault.kind)) {
            continue;
        }
        kinds.insert(fault.kind);
        plan.push_back(fault);
    }
    return plan;
}

QString describe(const FaultPlan &plan)
{
    QStringList texts;
    for (const Fault &fault : plan) {
        texts.append(fault.toString());
    }
    return texts.join(QStringLiteral("; "));
}

}
